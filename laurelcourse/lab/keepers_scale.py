"""x"""
RELAYS = (30, 200, 1000)
def figures(seed, relays): return {f"bytes_a_relay_a_second_{relays}": 0}
