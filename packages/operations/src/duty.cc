#include "trefoilbend/operations/duty.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "internal/answers.h"
#include "internal/audit_search.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/http/server.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/files.h"
#include "trefoilbend/operations/outage_check.h"
#include "trefoilbend/platform/client.h"
#include "trefoilbend/rollout/apply_files.h"
#include "trefoilbend/rollout/release_command.h"

namespace trefoilbend::operations {

namespace {

using internal::Answer;
using internal::Problem;
using internal::ToJson;
using internal::ToResponse;
using nlohmann::json;

constexpr std::size_t kResults = 128;
constexpr std::size_t kRequestsAtOnce = 64;
constexpr std::size_t kConfigurations = 64;
constexpr std::size_t kViews = 64;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kOverload = 422;
constexpr std::uint16_t kUnavailable = 503;

}  // namespace

class OperationsDuty::Loop {
 public:
  Loop(Options options, const prometheus::Registry& registry)
      : results(kResults),
        updates(kConfigurations),
        views(kViews),
        options(std::move(options)),
        platform(http::Client::Create(this->duty.Context()),
                 this->options.platform, this->options.platform_timeout),
        registry(registry) {
    this->duty.Read(this->results,
                    [this](const configuration::ChangeResult& result) {
                      this->Finish(result);
                    });
    this->duty.Read(this->updates, [this](configuration::Update&& update) {
      this->update = std::move(update);
    });
    this->duty.Read(this->views, [this](membership::View&& view) {
      this->view = std::move(view);
    });
  }

  core::Outcome<std::monostate, std::string> Start(const Outlets writes) {
    this->outlets = writes;
    this->server = http::Server::Builder{}
                       .On(this->options.address)
                       .WithHandler([this](const http::Request& request,
                                           const http::Respond& respond) {
                         this->Handle(request, respond);
                       })
                       .Build(this->duty.Context());
    auto listening = this->server->Listen();
    if (core::Succeeded(listening)) {
      this->log.Info("Serves operators on {}.",
                     http::ToString(this->options.address));
    }
    this->duty.Start();
    return listening;
  }

  core::Ring<configuration::ChangeResult> results;
  core::Ring<configuration::Update> updates;
  core::Ring<membership::View> views;
  core::Duty duty{"operations"};

 private:
  /** A request with who sent it. */
  struct Command {
    const http::Request& request;
    /** Name of the operator; empty for a read. */
    std::string who;
    const http::Respond& respond;
  };

  using Method = void (Loop::*)(const Command&);

  void Handle(const http::Request& request, const http::Respond& respond) {
    static const std::map<std::pair<std::string_view, std::string_view>, Method>
        kMethods{{{"GET", "/v1/status"}, &Loop::ShowStatus},
                 {{"GET", "/v1/configuration"}, &Loop::ShowConfiguration},
                 {{"GET", "/v1/audit"}, &Loop::ShowAudit},
                 {{"POST", "/v1/apply"}, &Loop::Apply},
                 {{"POST", "/v1/data-centre"}, &Loop::ChangeDataCentre},
                 {{"POST", "/v1/release"}, &Loop::ChangeRelease},
                 {{"GET", "/metrics"}, &Loop::ShowMetrics}};
    const auto method =
        kMethods.find({request.method, http::PathOf(request.target)});
    if (method == kMethods.end()) {
      respond(Problem(kNotFound, "no such command"));
      return;
    }
    std::string who;
    if (request.method != "GET") {
      const auto name = this->Authenticate(request);
      if (!name) {
        this->log.Warn("Refused {}: missing or unknown token.", request.target);
        respond(Problem(kUnauthorized,
                        "The token is missing or unknown. Give the file with "
                        "your token by --token-file; nothing was changed."));
        return;
      }
      who = *name;
    }
    try {
      (this->*method->second)(
          {.request = request, .who = std::move(who), .respond = respond});
    } catch (const json::exception&) {
      respond(Problem(kBadRequest, "a member of the body has the wrong type"));
    }
  }

  [[nodiscard]] std::optional<std::string> Authenticate(
      const http::Request& request) const {
    return this->options.operators.Authenticate(
        http::FindField(request.fields, "Authorization").value_or(""));
  }

  void ShowStatus(const Command& command) {
    json entries = json::array();
    std::uint64_t revision = 0;
    if (this->update.configuration != nullptr) {
      revision = this->update.configuration->Revision().Value();
      for (const inventory::Instance* entry :
           this->update.configuration->Entries()) {
        const std::string operations =
            entry->operations ? http::ToString(*entry->operations) : "";
        entries.push_back({{"name", entry->name.Text()},
                           {"data_centre", entry->data_centre.Text()},
                           {"operations", operations}});
      }
    }
    command.respond(Answer(200, {{"name", this->options.self.Text()},
                                 {"revision", revision},
                                 {"calls_in_progress", this->CallsInProgress()},
                                 {"current", this->view.current},
                                 {"peers", ToJson(this->view.peers)},
                                 {"entries", std::move(entries)}}));
  }

  [[nodiscard]] std::uint64_t CallsInProgress() const {
    for (const prometheus::MetricFamily& family : this->registry.Collect()) {
      if (family.name == "trefoilbend_calls_in_progress" &&
          !family.metric.empty()) {
        return static_cast<std::uint64_t>(family.metric.front().gauge.value);
      }
    }
    return 0;
  }

  void ShowConfiguration(const Command& command) {
    json objects = json::array();
    std::uint64_t revision = 0;
    if (this->update.configuration != nullptr) {
      revision = this->update.configuration->Revision().Value();
      for (const auto& [key, object] : this->update.configuration->Objects()) {
        objects.push_back(json::parse(inventory::Encode(object)));
      }
    }
    command.respond(
        Answer(200, {{"revision", revision}, {"objects", std::move(objects)}}));
  }

  void ShowMetrics(const Command& command) {
    command.respond({.status = 200,
                     .content_type = "text/plain; version=0.0.4",
                     .fields = {},
                     .body = prometheus::TextSerializer{}.Serialize(
                         this->registry.Collect())});
  }

  void ShowAudit(const Command& command) {
    std::make_shared<internal::AuditSearch>(
        this->platform, command.request.target, command.respond)
        ->Read();
  }

  /** The body of a change; nothing if it was refused. */
  [[nodiscard]] std::optional<json> ReadChange(const Command& command) const {
    json body = json::parse(command.request.body, nullptr, false);
    if (!body.is_object() || this->update.configuration == nullptr) {
      command.respond(Problem(kBadRequest,
                              "the body is not a JSON object, or this entry "
                              "has no configuration yet"));
      return std::nullopt;
    }
    return body;
  }

  void ChangeDataCentre(const Command& command) {
    const std::optional<json> read = this->ReadChange(command);
    if (!read) {
      return;
    }
    const json& body = *read;
    const core::DataCentreName name{body.value("name", "")};
    const bool out = body.value("out", false);
    if (this->update.configuration->Find<inventory::DataCentre>(name.Text()) ==
        nullptr) {
      command.respond(
          Problem(kBadRequest, "no data centre is named '" + name.Text() +
                                   "'; trefoilctl show lists them"));
      return;
    }
    if (out && !this->MayLeave(name, body, command.respond)) {
      return;
    }
    const std::optional<inventory::Object> outage{inventory::Outage{name}};
    const bool is_out = this->update.configuration->IsOut(name);
    configuration::ChangeRequest request = MakeRequest(command, body, {});
    request.based_on = this->update.configuration->Revision();
    if (is_out != out) {
      request.changes.push_back({.before = is_out ? outage : std::nullopt,
                                 .after = out ? outage : std::nullopt});
    }
    this->Change(std::move(request), command.respond);
  }

  void ChangeRelease(const Command& command) {
    const std::optional<json> read = this->ReadChange(command);
    if (!read) {
      return;
    }
    const json& body = *read;
    const std::chrono::seconds deadline{
        body.value("deadline_s", std::int64_t{0})};
    auto prepared = rollout::PrepareCommand(
        *this->update.configuration,
        {.action = body.value("action", ""),
         .service = core::ServiceName{body.value("service", "")},
         .version = core::VersionName{body.value("version", "")},
         .deadline = std::chrono::sys_seconds{deadline}},
        WallNow());
    if (!core::Succeeded(prepared)) {
      command.respond(Problem(kBadRequest, core::ProblemOf(prepared)));
      return;
    }
    this->Change(MakeRequest(command, body, core::ValueOf(std::move(prepared))),
                 command.respond);
  }

  bool MayLeave(const core::DataCentreName& name, const json& body,
                const http::Respond& respond) {
    std::optional<std::uint64_t> calls;
    if (body.contains("calls")) {
      calls = body["calls"].get<std::uint64_t>();
    }
    json lacking = json::array();
    for (const RemainingService& service :
         AssessOutage(this->update, name, calls)) {
      if (!service.Bears()) {
        lacking.push_back("service " + service.service.Text() + ": " +
                          std::to_string(service.slots_left) + " of " +
                          std::to_string(service.slots_now) +
                          " slots remain, " +
                          std::to_string(service.slots_needed) + " are needed");
      }
    }
    if (lacking.empty() || body.value("force", false)) {
      return true;
    }
    respond(Answer(kOverload,
                   {{"error",
                     "The other data centres cannot bear the load. Nothing was "
                     "changed; use --force to take " +
                         name.Text() + " out all the same."},
                    {"mistakes", std::move(lacking)}}));
    return false;
  }

  static std::chrono::sys_seconds WallNow() {
    return std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
  }

  static configuration::ChangeRequest MakeRequest(
      const Command& command, const json& body,
      std::vector<inventory::Change> changes) {
    return {.request = {},
            .change_id = body.value("id", ""),
            .who = Name(command, body),
            .why = body.value("why", ""),
            .changes = std::move(changes),
            .based_on = std::nullopt,
            .fences = {}};
  }

  static std::string Name(const Command& command, const json& body) {
    const std::string person = body.value("who", "");
    return person.empty() || person == command.who
               ? command.who
               : command.who + " for " + person;
  }

  void Apply(const Command& command) {
    const http::Respond& respond = command.respond;
    const json body = json::parse(command.request.body, nullptr, false);
    if (!body.is_object()) {
      respond(Problem(kBadRequest, "the body is not a JSON object"));
      return;
    }
    auto inventory =
        settings::Document::Parse("inventory", body.value("inventory", ""));
    auto rules = settings::Document::Parse("rules", body.value("rules", ""));
    for (const auto* document : {&inventory, &rules}) {
      if (!core::Succeeded(*document)) {
        respond(Answer(kBadRequest,
                       {{"error", "the files have mistakes"},
                        {"mistakes", ToJson(core::ProblemOf(*document))}}));
        return;
      }
    }
    const auto wanted =
        inventory::ReadFiles(core::ValueOf(inventory), core::ValueOf(rules));
    if (!core::Succeeded(wanted)) {
      respond(
          Answer(kBadRequest, {{"error", "the files have mistakes"},
                               {"mistakes", ToJson(core::ProblemOf(wanted))}}));
      return;
    }
    const inventory::ConfigurationPtr current =
        this->update.configuration != nullptr
            ? this->update.configuration
            : inventory::Configuration::Builder{}.Build();
    auto prepared =
        rollout::PrepareApply(*current, *core::ValueOf(wanted), WallNow());
    if (!core::Succeeded(prepared)) {
      respond(Answer(kBadRequest,
                     {{"error",
                       "The files do not fit what is in force. Nothing was "
                       "changed."},
                      {"mistakes", core::ProblemOf(prepared)}}));
      return;
    }
    this->Change(MakeRequest(command, body, core::ValueOf(std::move(prepared))),
                 respond);
  }

  void Change(configuration::ChangeRequest request,
              const http::Respond& respond) {
    if (request.change_id.empty() || request.who.empty()) {
      respond(Problem(kBadRequest, "a change needs an id and who asks for it"));
      return;
    }
    if (request.changes.empty()) {
      const std::uint64_t revision =
          this->update.configuration
              ? this->update.configuration->Revision().Value()
              : 0;
      respond(Answer(200, {{"revision", revision}, {"unchanged", true}}));
      return;
    }
    this->last_request = this->last_request.Next();
    request.request = this->last_request;
    if (this->waiting.size() >= kRequestsAtOnce ||
        !this->outlets.configuration->TryPush(std::move(request))) {
      respond(
          Problem(kUnavailable,
                  "too many changes are under way; repeat the command later"));
      return;
    }
    this->waiting.emplace(this->last_request, respond);
  }

  void Finish(const configuration::ChangeResult& result) {
    const auto found = this->waiting.find(result.request);
    if (found == this->waiting.end()) {
      return;
    }
    const http::Respond respond = std::move(found->second);
    this->waiting.erase(found);
    respond(
        std::visit([](const auto& concrete) { return ToResponse(concrete); },
                   result.result));
  }

  Options options;
  platform::Client platform;
  const prometheus::Registry& registry;
  Outlets outlets;
  configuration::Update update;
  membership::View view;
  std::shared_ptr<http::Server> server;
  std::unordered_map<configuration::RequestId, http::Respond> waiting;
  configuration::RequestId last_request;
  core::Log log{"operations"};
};

OperationsDuty::OperationsDuty(Options options,
                               const prometheus::Registry& registry)
    : loop(std::make_unique<Loop>(std::move(options), registry)) {}

OperationsDuty::~OperationsDuty() { this->Stop(); }

core::Ring<configuration::ChangeResult>&
OperationsDuty::ResultInlet() noexcept {
  return this->loop->results;
}

core::Ring<configuration::Update>&
OperationsDuty::ConfigurationInlet() noexcept {
  return this->loop->updates;
}

core::Ring<membership::View>& OperationsDuty::ViewInlet() noexcept {
  return this->loop->views;
}

core::Outcome<std::monostate, std::string> OperationsDuty::Start(
    const Outlets outlets) {
  return this->loop->Start(outlets);
}

void OperationsDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::operations
