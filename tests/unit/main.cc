#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char** argv) {
  // Ignores SIGPIPE, as the programs do: writing to a closed connection must fail, not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  return doctest::Context(argc, argv).run();
}
