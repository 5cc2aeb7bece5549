#include "fleet/fleet.h"

#include <boost/filesystem.hpp>
#include <boost/process.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include "support/await.h"
#include "support/loopback_network.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::tests {

namespace {

namespace process = boost::process;
using nlohmann::json;

constexpr std::uint16_t kServicePort = 7000;
constexpr std::uint16_t kOperationsPort = 7100;
constexpr std::uint16_t kPeersPort = 7200;
constexpr std::uint16_t kRelayPort = 7300;
constexpr std::uint16_t kRolloutPort = 7400;
constexpr const char* kToken = "token-of-the-test-operator";
constexpr const char* kSecondToken = "token-of-the-second-operator";
constexpr std::chrono::milliseconds kPoll{20};
constexpr std::chrono::seconds kTimeout{10};

json Parse(const http::ResponseOutcome& outcome) {
  if (!core::Succeeded(outcome)) {
    return nullptr;
  }
  return json::parse(core::ValueOf(outcome).body, nullptr, false);
}

http::Request MakeRequest(const std::string& method,
                          const std::string& target) {
  return {.method = method, .target = target, .fields = {}, .body = {}};
}

class DriverProcess final : public Driver {
 public:
  explicit DriverProcess(const std::vector<std::string>& arguments)
      : child(process::exe = CALLER_PROGRAM, process::args = arguments,
              process::std_out > this->out) {}

  [[nodiscard]] json Report() override {
    std::ostringstream text;
    text << this->out.rdbuf();
    this->child.wait();
    return json::parse(text.str(), nullptr, false);
  }

 private:
  process::ipstream out;
  process::child child;
};

}  // namespace

struct Fleet::State {
  LoopbackNetwork network;
  std::string folder;
  std::size_t entries{};
  std::size_t targets{};
  std::size_t new_targets{};
  std::uint32_t connections{};
  std::vector<std::string> target_arguments;
  std::vector<std::string> settings;
  std::string rules;
  std::map<std::string, process::child> children;

  [[nodiscard]] http::Address Address(const std::string& instance,
                                      const std::uint16_t port) const {
    constexpr int kTargets = 100;
    int host = 1;
    if (instance != "platform") {
      const std::size_t dash = instance.rfind('-');
      host = 1 + std::stoi(instance.substr(dash + 1));
      host += instance.starts_with("entry") ? 0 : kTargets;
    }
    return this->network.At(host, port);
  }

  void WriteInventory() const {
    std::ofstream out{this->folder + "/inventory.ini"};
    out << "[data-centre xela-1]\nregion = west\n"
        << "[data-centre xela-2]\nregion = west\n"
        << "[service stock]\nversion = 1\n";
    for (std::size_t i = 1; i <= this->entries; ++i) {
      const std::string name = "entry-" + std::to_string(i);
      out << "[instance " << name << "]\nrole = entry\ndata-centre = xela-"
          << i % 2 + 1
          << "\naddress = " << ToString(this->Address(name, kServicePort))
          << "\noperations = " << ToString(this->Address(name, kOperationsPort))
          << "\npeers = " << ToString(this->Address(name, kPeersPort))
          << "\nrelay = " << ToString(this->Address(name, kRelayPort))
          << "\nrollout = " << ToString(this->Address(name, kRolloutPort))
          << '\n';
    }
    for (std::size_t i = 1; i <= this->targets; ++i) {
      const std::string name = "stock-" + std::to_string(i);
      out << "[instance " << name << "]\ndata-centre = xela-" << i % 2 + 1
          << "\nservice = stock\naddress = "
          << ToString(this->Address(name, kServicePort))
          << "\nslots = 6\nconnections = " << this->connections
          << "\nversion = " << (i + this->new_targets > this->targets ? 2 : 1)
          << '\n';
    }
  }

  void WriteOperators() const {
    std::ofstream{this->folder + "/operators.ini"}
        << "[operator test]\ntoken = " << kToken
        << "\n[operator second]\ntoken = " << kSecondToken << '\n';
    std::ofstream{this->folder + "/token"} << kToken << '\n';
    std::ofstream{this->folder + "/second-token"} << kSecondToken << '\n';
  }

  void WriteRules() const {
    std::ofstream out{this->folder + "/rules.ini"};
    out << "[route lookup]\nservice = stock\npath = /lookup\nmethod = GET\n"
        << "urgent = yes\n"
        << "[route reserve]\nservice = stock\npath = /reserve\nmethod = POST\n"
        << "[route sheet]\nservice = stock\npath = /sheet\nmethod = GET\n"
        << "timeout = 20s\n"
        << this->rules;
  }

  [[nodiscard]] std::string WriteSettings(const std::string& entry) const {
    std::string path = this->folder + '/' + entry + ".ini";
    std::ofstream out{path};
    out << "[entry]\nname = " << entry << "\n[callers]\naddress = "
        << ToString(this->Address(entry, kServicePort))
        << "\nkeep = 1s\n[platform]\naddress = "
        << ToString(this->Address("platform", kServicePort))
        << "\npoll = 200ms\n[operations]\naddress = "
        << ToString(this->Address(entry, kOperationsPort))
        << "\ntokens = " << this->folder
        << "/operators.ini\n[membership]\nseeds =";
    for (std::size_t i = 1; i <= this->entries; ++i) {
      const std::string seed = "entry-" + std::to_string(i);
      out << (seed == entry ? ""
                            : ' ' + ToString(this->Address(seed, kPeersPort)));
    }
    out << '\n';
    return path;
  }

  void Spawn(const std::string& name, const std::string& program,
             const std::vector<std::string>& arguments) {
    this->children[name] =
        process::child(process::exe = program, process::args = arguments,
                       process::std_out > process::null,
                       process::std_err > this->folder + '/' + name + ".log");
  }
};

Fleet::Fleet(std::unique_ptr<State> state) : state(std::move(state)) {}

Fleet::~Fleet() {
  for (auto& [name, child] : this->state->children) {
    if (child.valid() && child.running()) {
      kill(child.id(), SIGKILL);
      child.wait();
    }
  }
  boost::system::error_code ignored;
  boost::filesystem::remove_all(this->state->folder, ignored);
}

http::Address Fleet::AddressOf(const std::string& instance) const {
  return this->state->Address(instance, kServicePort);
}

http::Address Fleet::OperationsOf(const std::string& entry) const {
  return this->state->Address(entry, kOperationsPort);
}

const std::string& Fleet::Folder() const noexcept {
  return this->state->folder;
}

std::size_t Fleet::Entries() const noexcept { return this->state->entries; }

std::size_t Fleet::Targets() const noexcept { return this->state->targets; }

void Fleet::Start(const std::string& instance,
                  const std::vector<std::string>& arguments) {
  const std::string address = ToString(this->AddressOf(instance));
  std::vector<std::string> all;
  std::string program = TARGET_PROGRAM;
  http::Address probed = this->AddressOf(instance);
  std::string path = "/load";
  if (instance == "platform") {
    program = PLATFORM_PROGRAM;
    path = "/control/counts";
    all = {"--address", address};
  } else if (instance.starts_with("entry")) {
    program = TREFOILBEND_PROGRAM;
    path = "/v1/status";
    probed = this->OperationsOf(instance);
    all = {"--settings", this->state->WriteSettings(instance)};
    for (const std::string& setting : this->state->settings) {
      all.insert(all.end(), {"--set", setting});
    }
  } else {
    all = {"--address", address};
    const auto& shared = this->state->target_arguments;
    all.insert(all.end(), shared.begin(), shared.end());
  }
  all.insert(all.end(), arguments.begin(), arguments.end());
  this->state->Spawn(instance, program, all);
  const bool started = Await(
      [&] { return core::Succeeded(Send(probed, MakeRequest("GET", path))); });
  if (!started) {
    throw std::runtime_error(instance + " did not start");
  }
  if (instance != "platform") {
    this->List(instance, "live");
  }
}

void Fleet::Signal(const std::string& instance, const int signal) {
  process::child& child = this->state->children.at(instance);
  kill(child.id(), signal);
  if (signal == SIGKILL) {
    child.wait();
  }
}

int Fleet::AwaitExit(const std::string& instance) {
  process::child& child = this->state->children.at(instance);
  child.wait();
  return child.exit_code();
}

bool Fleet::IsRunning(const std::string& instance) {
  return this->state->children.at(instance).running();
}

void Fleet::List(const std::string& instance, const std::string& state) {
  (void)Send(this->AddressOf("platform"),
             MakeRequest("PUT", "/control/instance?name=" + instance +
                                    "&state=" + state));
}

void Fleet::Fault(const std::string& instance, const std::string& fault,
                  const std::int64_t value) {
  (void)Send(this->AddressOf(instance),
             MakeRequest("PUT", "/control/fault?name=" + fault +
                                    "&value=" + std::to_string(value)));
}

json Fleet::Counts(const std::string& instance) const {
  return Parse(Send(this->AddressOf(instance),
                    MakeRequest("GET", "/control/counts?runs=yes")));
}

json Fleet::StatusOf(const std::string& entry) const {
  return Parse(
      Send(this->OperationsOf(entry), MakeRequest("GET", "/v1/status")));
}

http::ResponseOutcome Fleet::Send(const http::Address& server,
                                  http::Request request) {
  return http::SendAndWait(server, std::move(request), kTimeout);
}

CommandResult Fleet::Control(const std::vector<std::string>& arguments) {
  process::ipstream out;
  process::child child(process::exe = TREFOILCTL_PROGRAM,
                       process::args = arguments,
                       (process::std_out & process::std_err) > out);
  std::ostringstream text;
  text << out.rdbuf();
  child.wait();
  return {.exit_code = child.exit_code(), .output = text.str()};
}

std::unique_ptr<Driver> Fleet::Drive(
    const std::vector<std::string>& arguments) const {
  std::vector<std::string> all;
  for (std::size_t i = 1; i <= this->state->entries; ++i) {
    all.insert(
        all.end(),
        {"--entry", ToString(this->AddressOf("entry-" + std::to_string(i)))});
  }
  all.insert(all.end(), arguments.begin(), arguments.end());
  return std::make_unique<DriverProcess>(all);
}

bool Fleet::Await(const std::function<bool()>& condition,
                  const std::chrono::milliseconds limit) {
  return AwaitCondition(condition, limit, kPoll);
}

std::unique_ptr<Fleet> Fleet::Builder::Build() {
  auto state = std::make_unique<State>();
  state->entries = this->entries;
  state->targets = this->targets;
  state->new_targets = this->new_targets;
  state->connections = this->connections;
  state->target_arguments = this->target_arguments;
  state->settings = this->settings;
  state->rules = this->rules;
  state->folder = (boost::filesystem::temp_directory_path() /
                   boost::filesystem::unique_path("trefoilbend-%%%%%%%%"))
                      .string();
  boost::filesystem::create_directories(state->folder);
  state->WriteInventory();
  state->WriteRules();
  state->WriteOperators();
  setenv("TREFOILCTL_TOKEN_FILE", (state->folder + "/token").c_str(), 1);
  std::unique_ptr<Fleet> fleet{new Fleet(std::move(state))};
  fleet->Start("platform");
  for (std::size_t i = 1; i <= this->targets; ++i) {
    fleet->Start("stock-" + std::to_string(i), {"--seed", std::to_string(i)});
  }
  for (std::size_t i = 1; i <= this->entries; ++i) {
    fleet->Start("entry-" + std::to_string(i));
  }
  const CommandResult applied =
      Control({"apply", "--entry", ToString(fleet->OperationsOf("entry-1")),
               "--inventory", fleet->Folder() + "/inventory.ini", "--rules",
               fleet->Folder() + "/rules.ini", "--why", "set up"});
  if (applied.exit_code != 0) {
    throw std::runtime_error("the configuration is not in force: " +
                             applied.output);
  }
  return fleet;
}

}  // namespace trefoilbend::tests
