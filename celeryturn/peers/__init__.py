"""Communication between instances: CBOR messages over websockets."""
