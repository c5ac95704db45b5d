import os,sys
print({k:v for k,v in os.environ.items() if 'BALANCER' in k}, file=sys.stderr)
print(open(os.environ["BALANCER_CONFIG"]).read(), file=sys.stderr, flush=True)
