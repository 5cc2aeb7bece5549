#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "target/session.h"
#include "target/target.h"
#include "trefoilbend/http/address.h"

namespace {

constexpr std::chrono::milliseconds kStopPoll{10};

}  // namespace

int main(int argc, char** argv) {
  namespace http = trefoilbend::http;
  namespace stand_ins = trefoilbend::stand_ins;
  using boost::asio::ip::tcp;
  CLI::App app{
      "Stand-in for a target: slots, queue, cold start, faults by switch."};
  std::string address_text;
  stand_ins::TargetOptions options;
  std::int64_t stop_notice_ms = 0;
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
  app.add_option("--stop-notice-ms", stop_notice_ms,
                 "Time in milliseconds for which a target that stops tells so");
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
  boost::asio::steady_timer stop_timer{context};
  std::function<void()> await_idle = [&] {
    if (target.IsIdle()) {
      context.stop();
      return;
    }
    stop_timer.expires_after(kStopPoll);
    stop_timer.async_wait([&](auto) { await_idle(); });
  };
  signals.async_wait([&](auto, int) {
    target.Drain();
    stop_timer.expires_after(std::chrono::milliseconds{stop_notice_ms});
    stop_timer.async_wait([&](auto) { await_idle(); });
  });
  context.run();
  return 0;
}
