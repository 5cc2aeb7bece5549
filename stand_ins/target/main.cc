#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "target/session.h"
#include "target/target.h"
#include "trefoilbend/http/address.h"

int main(int argc, char** argv) {
  namespace http = trefoilbend::http;
  namespace stand_ins = trefoilbend::stand_ins;
  using boost::asio::ip::tcp;
  CLI::App app{
      "Stand-in for a target: slots, queue, cold start, faults by switch."};
  std::string address_text;
  stand_ins::TargetOptions options;
  std::int64_t service_us = options.service_time.count();
  app.add_option("--address", address_text, "Address to listen on")->required();
  app.add_option("--slots", options.slots,
                 "Requests worked on at the same time");
  app.add_option("--queue", options.queue,
                 "Requests that wait before the target sheds");
  app.add_option("--service-us", service_us,
                 "Median service time in microseconds");
  app.add_option("--sigma", options.sigma,
                 "Spread of the log-normal service time");
  app.add_option("--cold-bears", options.cold_bears,
                 "Requests that a cold target bears");
  app.add_flag("--cold", options.cold, "Start cold");
  app.add_option("--seed", options.seed, "Seed of service times and faults");
  CLI11_PARSE(app, argc, argv);
  options.service_time = std::chrono::microseconds{service_us};
  const auto address =
      http::ParseAddress(address_text).value_or(http::Address{});

  boost::asio::io_context context{1};
  stand_ins::Target target{context, options};
  tcp::acceptor acceptor{
      context,
      tcp::endpoint{boost::asio::ip::make_address(address.host), address.port}};
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](const boost::system::error_code error,
                              tcp::socket socket) {
      if (!error) {
        std::make_shared<stand_ins::Session>(std::move(socket), target)->Read();
      }
      accept();
    });
  };
  accept();
  boost::asio::signal_set signals{context, SIGTERM, SIGINT};
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}
