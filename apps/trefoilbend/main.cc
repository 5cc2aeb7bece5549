#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
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
/** Time between two looks at the settings' file. */
constexpr std::chrono::seconds kFileLook{2};

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

/** Where the settings come from. */
struct Source {
  std::string path;
  std::vector<std::string> flags;
};

using Loaded = core::Outcome<settings::Document, settings::Mistakes>;

Loaded Load(const Source& source) {
  Loaded document = settings::Document::Load(source.path);
  if (!core::Succeeded(document)) {
    return document;
  }
  for (const std::string& flag : source.flags) {
    if (!ApplyFlag(std::get<0>(document), flag)) {
      return settings::Mistakes{
          {"command line", "--set " + flag, "", "SECTION.KEY=VALUE"}};
    }
  }
  return document;
}

/** Reads the settings again on SIGHUP, and when their file has changed. */
class Reloader {
 public:
  Reloader(boost::asio::io_context& context, Source source,
           settings::Document document)
      : source(std::move(source)),
        document(std::move(document)),
        changed_at(this->ChangeTime()),
        signals(context, SIGHUP),
        timer(context) {
    this->AwaitSignal();
    this->AwaitChange();
  }

 private:
  void AwaitSignal() {
    this->signals.async_wait(
        [this](const boost::system::error_code error, int) {
          if (!error) {
            this->Reload();
            this->AwaitSignal();
          }
        });
  }

  void AwaitChange() {
    this->timer.expires_after(kFileLook);
    this->timer.async_wait([this](const boost::system::error_code error) {
      if (error) {
        return;
      }
      this->TellDroppedLines();
      if (const auto time = this->ChangeTime(); time != this->changed_at) {
        this->changed_at = time;
        this->Reload();
      }
      this->AwaitChange();
    });
  }

  void TellDroppedLines() {
    const std::uint64_t dropped = core::DroppedLogLines();
    if (dropped != this->dropped_lines) {
      this->log.Warn("Dropped lines, the reader is too slow. lines={}",
                     dropped - this->dropped_lines);
      this->dropped_lines = dropped;
    }
  }

  [[nodiscard]] std::filesystem::file_time_type ChangeTime() const {
    std::error_code ignored;
    return std::filesystem::last_write_time(this->source.path, ignored);
  }

  /** Log levels change at once; other settings with the next start. */
  void Reload() {
    const Loaded loaded = Load(this->source);
    const auto checked =
        core::Succeeded(loaded)
            ? entry::ReadSettings(core::ValueOf(loaded))
            : core::Outcome<entry::Settings, settings::Mistakes>{
                  core::ProblemOf(loaded)};
    if (!core::Succeeded(checked)) {
      for (const settings::Mistake& mistake : core::ProblemOf(checked)) {
        this->log.Warn("Settings not taken: {}.", settings::ToString(mistake));
      }
      return;
    }
    const entry::Settings& next = core::ValueOf(checked);
    core::ConfigureLogs(next.log_level, next.log_levels);
    const bool same =
        core::ValueOf(loaded).Sections() == this->document.Sections();
    this->document = core::ValueOf(loaded);
    this->log.Info("Read the settings again: {}.",
                   same ? "unchanged"
                        : "log levels are in force, other changes take "
                          "effect at the next start");
  }

  Source source;
  settings::Document document;
  std::filesystem::file_time_type changed_at;
  boost::asio::signal_set signals;
  boost::asio::steady_timer timer;
  std::uint64_t dropped_lines = 0;
  core::Log log{"entry"};
};

/** Begins a graceful stop at the first signal, also if that came during the
 * start. Whoever runs the entry may send SIGTERM again, which changes nothing;
 * SIGINT, from a terminal, ends it at once if it stops already. */
class SignalWatch {
 public:
  explicit SignalWatch(boost::asio::io_context& context)
      : context(context), signals(context, SIGTERM, SIGINT) {}

  /** Takes signals for an entry, which ends before this. */
  void Watch(entry::Entry& started) {
    this->entry = &started;
    this->Await();
  }

 private:
  void Await() {
    this->signals.async_wait(
        [this](const boost::system::error_code error, const int signal) {
          if (!error) {
            this->OnSignal(signal);
            this->Await();
          }
        });
  }

  void OnSignal(const int signal) {
    this->log.Info("Got signal {}.", signal);
    if (!std::exchange(this->stops, true)) {
      this->entry->Drain([this] {
        boost::asio::post(this->context, [this] { this->context.stop(); });
      });
    } else if (signal == SIGINT) {
      this->log.Warn("Stops at once.");
      this->context.stop();
    }
  }

  boost::asio::io_context& context;
  boost::asio::signal_set signals;
  entry::Entry* entry = nullptr;
  bool stops = false;
  core::Log log{"entry"};
};

int Run(entry::Settings settings, const Source& source,
        const settings::Document& document) {
  core::ConfigureLogs(settings.log_level, settings.log_levels);
  const core::Log log{"entry"};
  boost::asio::io_context context{1};
  SignalWatch signals{context};
  const Reloader reloader{context, source, document};
  const auto entry =
      entry::Entry::Builder{}.WithSettings(std::move(settings)).Build();
  const auto started = entry->Start();
  if (!core::Succeeded(started)) {
    std::fprintf(stderr, "trefoilbend: %s\n", core::ProblemOf(started).c_str());
    return kCannotStart;
  }
  signals.Watch(*entry);
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
  const Source source{.path = path, .flags = flags};
  const Loaded document = Load(source);
  if (!core::Succeeded(document)) {
    return Refuse(core::ProblemOf(document));
  }
  auto settings = entry::ReadSettings(core::ValueOf(document));
  if (!core::Succeeded(settings)) {
    return Refuse(core::ProblemOf(settings));
  }
  if (check_only) {
    std::printf("%s: the settings are right\n", path.c_str());
    return 0;
  }
  return Run(std::move(std::get<0>(settings)), source, core::ValueOf(document));
}
