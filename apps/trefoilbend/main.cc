#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/core/log.h"
#include "trefoilbend/entry/entry.h"

namespace {

namespace core = trefoilbend::core;
namespace entry = trefoilbend::entry;
namespace settings = trefoilbend::settings;

constexpr int kBadSettings = 2;
constexpr int kCannotStart = 1;

int Refuse(const settings::Mistakes& mistakes) {
  for (const settings::Mistake& mistake : mistakes) {
    std::fprintf(stderr, "trefoilbend: %s\n",
                 settings::ToString(mistake).c_str());
  }
  return kBadSettings;
}

bool ApplyFlag(settings::Document& document, const std::string& flag) {
  const std::size_t equals = flag.find('=');
  const std::size_t dot = flag.find('.');
  if (equals == std::string::npos || dot == std::string::npos || dot > equals) {
    return false;
  }
  document.Set(flag.substr(0, dot), flag.substr(dot + 1, equals - dot - 1),
               flag.substr(equals + 1));
  return true;
}

int Run(entry::Settings settings) {
  core::ConfigureLogs(settings.log_level, settings.log_levels);
  const core::Log log{"entry"};
  boost::asio::io_context context{1};
  boost::asio::signal_set signals{context, SIGTERM, SIGINT};
  const auto entry =
      entry::Entry::Builder{}.WithSettings(std::move(settings)).Build();
  const auto started = entry->Start();
  if (!core::Succeeded(started)) {
    std::fprintf(stderr, "trefoilbend: %s\n", core::ProblemOf(started).c_str());
    return kCannotStart;
  }
  signals.async_wait([&](const boost::system::error_code, const int signal) {
    log.Info("Got signal {}.", signal);
    entry->Drain([&] { boost::asio::post(context, [&] { context.stop(); }); });
    signals.async_wait([&](const boost::system::error_code error, int) {
      if (!error) {
        log.Warn("Got a second signal and stops at once.");
        context.stop();
      }
    });
  });
  log.Info("Runs.");
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Entry daemon of the trefoilbend load balancer."};
  std::string path;
  std::vector<std::string> flags;
  bool check_only = false;
  app.set_version_flag("--version", "trefoilbend " TREFOILBEND_VERSION);
  app.add_option("--settings", path, "INI file with the settings")->required();
  app.add_option("--set", flags,
                 "Replaces one setting: SECTION.KEY=VALUE; may be repeated");
  app.add_flag("--check-settings", check_only, "Checks the settings and ends");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kBadSettings;
  }
  auto document = settings::Document::Load(path);
  if (!core::Succeeded(document)) {
    return Refuse(core::ProblemOf(document));
  }
  for (const std::string& flag : flags) {
    if (!ApplyFlag(std::get<0>(document), flag)) {
      return Refuse(
          {{"command line", "--set " + flag, "", "SECTION.KEY=VALUE"}});
    }
  }
  auto settings = entry::ReadSettings(core::ValueOf(document));
  if (!core::Succeeded(settings)) {
    return Refuse(core::ProblemOf(settings));
  }
  if (check_only) {
    std::printf("%s: the settings are right\n", path.c_str());
    return 0;
  }
  return Run(std::move(std::get<0>(settings)));
}
