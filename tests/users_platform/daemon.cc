#include "daemon.h"

#include <boost/filesystem.hpp>
#include <boost/process.hpp>
#include <csignal>
#include <fstream>
#include <string>

namespace trefoilbend::tests {

namespace process = boost::process;

struct Daemon::State {
  std::string folder;
  process::child child;
};

Daemon::Daemon(const settings::Document& settings)
    : state(std::make_unique<State>()) {
  this->state->folder = (boost::filesystem::temp_directory_path() /
                         boost::filesystem::unique_path("trefoilbend-%%%%%%%%"))
                            .string();
  boost::filesystem::create_directories(this->state->folder);
  const std::string path = this->state->folder + "/entry.ini";
  {
    std::ofstream out{path};
    for (const auto& [section, entries] : settings.Sections()) {
      out << '[' << section << "]\n";
      for (const auto& [key, value] : entries) {
        out << key << " = " << value << '\n';
      }
    }
  }
  this->state->child =
      process::child(process::exe = TREFOILBEND_PROGRAM,
                     process::args = {std::string{"--settings"}, path},
                     process::std_out > process::null,
                     process::std_err > this->state->folder + "/entry.log");
}

Daemon::~Daemon() {
  if (this->IsRunning()) {
    this->Signal(SIGKILL);
    this->state->child.wait();
  }
  boost::system::error_code ignored;
  boost::filesystem::remove_all(this->state->folder, ignored);
}

void Daemon::Signal(const int signal) { kill(this->state->child.id(), signal); }

bool Daemon::IsRunning() { return this->state->child.running(); }

std::size_t Daemon::PeakMemory() const {
  constexpr std::size_t kKibibyte = 1'024;
  std::ifstream status{"/proc/" + std::to_string(this->state->child.id()) +
                       "/status"};
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      std::size_t kibibytes{};
      status >> kibibytes;
      return kibibytes * kKibibyte;
    }
  }
  return 0;
}

}  // namespace trefoilbend::tests
