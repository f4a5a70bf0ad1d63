"""What every front shares: the decision module, the exchange and the types between them."""
