#include "trefoilbend/operations/duty.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/http/server.h"
#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/inventory/files.h"

namespace trefoilbend::operations {

namespace {

using nlohmann::json;

constexpr std::size_t kResults = 128;
constexpr std::size_t kRequestsAtOnce = 64;
constexpr std::size_t kConfigurations = 64;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kClash = 409;
constexpr std::uint16_t kUnavailable = 503;

http::Response Answer(const std::uint16_t status, const json& body) {
  return {.status = status, .fields = {}, .body = body.dump()};
}

http::Response Problem(const std::uint16_t status, const std::string& message) {
  return Answer(status, {{"error", message}});
}

json ToJson(const settings::Mistakes& mistakes) {
  json lines = json::array();
  for (const settings::Mistake& mistake : mistakes) {
    lines.push_back(settings::ToString(mistake));
  }
  return lines;
}

http::Response ToResponse(const configuration::ChangeAccepted& accepted) {
  return Answer(200, {{"revision", accepted.revision.Value()}});
}

http::Response ToResponse(const configuration::ChangeClash& clash) {
  const std::string other =
      clash.other.who.empty() ? "another operator" : clash.other.who;
  return Answer(kClash,
                {{"error", "Another change came first, by " + other +
                               ". Look at it and repeat the command."},
                 {"other", json::parse(inventory::Encode(clash.other))}});
}

http::Response ToResponse(const configuration::ChangeRefused& refused) {
  return Answer(kUnavailable, {{"error", refused.message},
                               {"effect_unknown", refused.effect_unknown}});
}

}  // namespace

class OperationsDuty::Loop {
 public:
  Loop(Options options, const prometheus::Registry& registry)
      : results(kResults),
        updates(kConfigurations),
        options(std::move(options)),
        registry(registry) {
    this->duty.Read(this->results,
                    [this](const configuration::ChangeResult& result) {
                      this->Finish(result);
                    });
    this->duty.Read(this->updates, [this](configuration::Update&& update) {
      this->update = std::move(update);
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
      this->duty.Start();
    }
    return listening;
  }

  core::Ring<configuration::ChangeResult> results;
  core::Ring<configuration::Update> updates;
  core::Duty duty{"operations"};

 private:
  using Method = void (Loop::*)(const http::Request&, const http::Respond&);

  void Handle(const http::Request& request, const http::Respond& respond) {
    static const std::map<std::pair<std::string_view, std::string_view>, Method>
        kMethods{{{"GET", "/v1/status"}, &Loop::ShowStatus},
                 {{"GET", "/v1/configuration"}, &Loop::ShowConfiguration},
                 {{"POST", "/v1/apply"}, &Loop::Apply},
                 {{"GET", "/metrics"}, &Loop::ShowMetrics}};
    const auto method =
        kMethods.find({request.method, http::PathOf(request.target)});
    if (method == kMethods.end()) {
      respond(Problem(kNotFound, "no such command"));
      return;
    }
    (this->*method->second)(request, respond);
  }

  void ShowStatus(const http::Request& /*request*/,
                  const http::Respond& respond) {
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
    respond(Answer(200, {{"name", this->options.self.Text()},
                         {"revision", revision},
                         {"entries", std::move(entries)}}));
  }

  void ShowConfiguration(const http::Request& /*request*/,
                         const http::Respond& respond) {
    json objects = json::array();
    std::uint64_t revision = 0;
    if (this->update.configuration != nullptr) {
      revision = this->update.configuration->Revision().Value();
      for (const auto& [key, object] : this->update.configuration->Objects()) {
        objects.push_back(json::parse(inventory::Encode(object)));
      }
    }
    respond(
        Answer(200, {{"revision", revision}, {"objects", std::move(objects)}}));
  }

  void ShowMetrics(const http::Request& /*request*/,
                   const http::Respond& respond) {
    respond({.status = 200,
             .content_type = "text/plain; version=0.0.4",
             .fields = {},
             .body = prometheus::TextSerializer{}.Serialize(
                 this->registry.Collect())});
  }

  void Apply(const http::Request& request, const http::Respond& respond) {
    const json body = json::parse(request.body, nullptr, false);
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
    this->Change({.request = {},
                  .change_id = body.value("id", ""),
                  .who = body.value("who", ""),
                  .why = body.value("why", ""),
                  .changes = this->ChangesTo(*core::ValueOf(wanted))},
                 respond);
  }

  std::vector<inventory::Change> ChangesTo(
      const inventory::Configuration& wanted) const {
    if (this->update.configuration == nullptr) {
      const inventory::ConfigurationPtr none =
          inventory::Configuration::Builder{}.Build();
      return inventory::Difference(*none, wanted, inventory::FileKinds());
    }
    return inventory::Difference(*this->update.configuration, wanted,
                                 inventory::FileKinds());
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
  const prometheus::Registry& registry;
  Outlets outlets;
  configuration::Update update;
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

core::Outcome<std::monostate, std::string> OperationsDuty::Start(
    const Outlets outlets) {
  return this->loop->Start(outlets);
}

void OperationsDuty::Stop() { this->loop->duty.Stop(); }

}  // namespace trefoilbend::operations
