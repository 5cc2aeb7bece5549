#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "caller/driver.h"

int main(int argc, char** argv) {
  namespace http = trefoilbend::http;
  namespace stand_ins = trefoilbend::stand_ins;
  CLI::App app{
      "Load driver that stands in for callers and checks every answer."};
  stand_ins::DriverOptions options;
  std::vector<std::string> entries;
  std::string direct;
  double seconds = 1;
  bool list_not_run = false;
  app.add_option("--entry", entries, "Address of an entry; may be repeated");
  app.add_option("--direct", direct,
                 "Address of a target to call without any entry");
  app.add_option("--service", options.service, "Service to call");
  app.add_option("--callers", options.callers, "Callers at the same time");
  app.add_option("--rate", options.rate,
                 "Calls a second; 0 for as many as are answered");
  app.add_option("--seconds", seconds, "Length of the run");
  app.add_option("--reserve-percent", options.reserve_percent,
                 "Share of reservations");
  app.add_option("--sheet-percent", options.sheet_percent,
                 "Share of downloads");
  app.add_option("--urgent-percent", options.urgent_percent,
                 "Share of urgent lookups");
  app.add_option("--lookup-bytes", options.lookup_bytes,
                 "Length of a lookup's answer");
  app.add_option("--sheet-bytes", options.sheet_bytes, "Length of a download");
  app.add_option("--seed", options.seed, "Seed of the mix");
  app.add_option("--attempts", options.attempts,
                 "Attempts that one call may take");
  app.add_flag("--own-keys", options.own_keys,
               "Keys of reservations have no prefix");
  app.add_option("--name", options.name,
                 "Name that tells this driver's calls apart");
  app.add_flag("--list-not-run", list_not_run,
               "Lists the calls refused as not run");
  CLI11_PARSE(app, argc, argv);
  for (const std::string& entry : entries) {
    options.entries.push_back(
        http::ParseAddress(entry).value_or(http::Address{}));
  }
  options.direct = http::ParseAddress(direct);
  if (options.entries.empty() && !options.direct) {
    std::fprintf(stderr,
                 "stand_in_caller: give --entry or --direct with an address\n");
    return 2;
  }
  options.duration = std::chrono::milliseconds{
      static_cast<std::int64_t>(seconds * std::milli::den)};
  boost::asio::io_context context{1};
  stand_ins::Driver driver{context, options};
  const auto begin = std::chrono::steady_clock::now();
  driver.Start();
  context.run();
  auto report =
      driver.Result().Report(std::chrono::steady_clock::now() - begin);
  if (!list_not_run) {
    report.erase("not_run_calls");
  }
  std::printf("%s\n", report.dump().c_str());
  return driver.Result().Wrong() == 0 ? 0 : 1;
}
