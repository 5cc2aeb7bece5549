#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <string>

#include "store/store.h"
#include "trefoilbend/http/address.h"

int main(int argc, char** argv) {
  namespace core = trefoilbend::core;
  namespace http = trefoilbend::http;
  CLI::App app{
      "Stand-in for the users' store. POST /control with a JSON object sets "
      "the "
      "faults: busy, silent, slow_ms, lost_answers, late_writes_ms, "
      "stale_reads, over_rate, forget_history, take_copy, come_back_ms, "
      "rewritten_within_ms."};
  std::string address;
  app.add_option("--address", address, "Address to listen on")->required();
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context{1};
  trefoilbend::stand_ins::Store store{
      context, http::ParseAddress(address).value_or(http::Address{})};
  const auto listening = store.GetServer().Listen();
  if (!core::Succeeded(listening)) {
    std::fprintf(stderr, "stand_in_store: %s\n",
                 core::ProblemOf(listening).c_str());
    return 1;
  }
  boost::asio::signal_set signals{context, SIGTERM, SIGINT};
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}
