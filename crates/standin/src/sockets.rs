//! Members and discovery on loopback, for tests with the real program over real sockets.
