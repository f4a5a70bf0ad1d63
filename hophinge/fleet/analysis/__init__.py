"""Analysis of recorded requests and simulated days, for operators and developers."""
