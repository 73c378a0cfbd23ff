"""Instance to instance: CBOR messages on websockets."""
