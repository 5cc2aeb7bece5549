#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "platform/table.h"
#include "trefoilbend/http/server.h"

namespace {

namespace core = trefoilbend::core;
namespace http = trefoilbend::http;
namespace stand_ins = trefoilbend::stand_ins;
using nlohmann::json;

constexpr std::size_t kMostRows = 10'000;

/** Faults that can be switched on over HTTP; 0 switches each off. */
struct Faults {
  std::int64_t down = 0;
  std::int64_t slow_ms = 0;
  std::int64_t lose_answers = 0;
  std::int64_t list_lag_ms = 0;
};

class Platform {
 public:
  Platform(boost::asio::io_context& context, http::Address address)
      : context(context) {
    this->server = http::Server::Builder{}
                       .On(std::move(address))
                       .WithHandler([this](const http::Request& request,
                                           http::Respond respond) {
                         this->Handle(request, std::move(respond));
                       })
                       .Build(context);
  }

  [[nodiscard]] http::Server& GetServer() noexcept { return *this->server; }

 private:
  using Method = http::Response (Platform::*)(const http::Request&);

  struct Command {
    Method run;
    std::int64_t* count;
  };

  static http::Response Answer(const json& body,
                               const std::uint16_t status = 200) {
    return {.status = status, .fields = {}, .body = body.dump()};
  }

  void Handle(const http::Request& request, http::Respond respond) {
    const std::string_view path = http::PathOf(request.target);
    if (path.starts_with("/control/")) {
      respond(this->Control(request));
      return;
    }
    if (this->faults.down != 0) {
      respond(Answer({{"error", "down"}}, 503));
      return;
    }
    const http::Response response = this->Serve(request);
    if (this->faults.lose_answers > 0 && request.method == "POST") {
      --this->faults.lose_answers;
      respond(Answer({{"error", "answer lost"}}, 504));
      return;
    }
    this->After(this->faults.slow_ms, [respond = std::move(respond), response] {
      respond(response);
    });
  }

  http::Response Serve(const http::Request& request) {
    const std::map<std::pair<std::string_view, std::string_view>, Command>
        commands{{{"POST", "/table/transactions"},
                  {&Platform::Transact, &this->writes}},
                 {{"GET", "/table/row"}, {&Platform::ReadRow, &this->reads}},
                 {{"GET", "/table/rows"}, {&Platform::ReadRows, &this->reads}},
                 {{"GET", "/object"}, {&Platform::ReadObject, &this->reads}},
                 {{"PUT", "/object"}, {&Platform::WriteObject, &this->writes}},
                 {{"GET", "/instances"}, {&Platform::List, &this->reads}}};
    const auto command =
        commands.find({request.method, http::PathOf(request.target)});
    if (command == commands.end()) {
      return Answer({{"error", "no such command"}}, 404);
    }
    ++*command->second.count;
    try {
      return (this->*command->second.run)(request);
    } catch (const json::exception& error) {
      return Answer({{"error", error.what()}}, 400);
    }
  }

  http::Response Transact(const http::Request& request) {
    const json conflicts = this->table.Commit(json::parse(request.body));
    return conflicts.empty() ? Answer({{"committed", true}})
                             : Answer({{"conflicts", conflicts}}, 409);
  }

  http::Response ReadRow(const http::Request& request) {
    const json row = this->table.Read(http::QueryOf(request.target)["key"]);
    return row.is_null() ? Answer({{"error", "no such row"}}, 404)
                         : Answer(row);
  }

  http::Response ReadRows(const http::Request& request) {
    auto query = http::QueryOf(request.target);
    const std::size_t limit = std::min(
        kMostRows, static_cast<std::size_t>(std::atol(query["limit"].c_str())));
    return Answer({{"rows", this->table.ReadRange(query["prefix"],
                                                  query["after"], limit)}});
  }

  http::Response ReadObject(const http::Request& request) {
    const auto object =
        this->objects.find(http::QueryOf(request.target)["name"]);
    if (object == this->objects.end()) {
      return Answer({{"error", "no such object"}}, 404);
    }
    return {.status = 200,
            .content_type = "application/octet-stream",
            .fields = {},
            .body = object->second};
  }

  http::Response WriteObject(const http::Request& request) {
    this->objects[http::QueryOf(request.target)["name"]] = request.body;
    return Answer({{"written", true}});
  }

  http::Response List(const http::Request& request) {
    json list = json::array();
    for (const auto& [name, state] : this->shown) {
      list.push_back({{"name", name}, {"state", state}});
    }
    http::Response response = Answer({{"instances", std::move(list)}});
    const std::string tag =
        '"' + std::to_string(std::hash<std::string>{}(response.body)) + '"';
    response.fields.emplace_back("ETag", tag);
    if (http::FindField(request.fields, "If-None-Match") == tag) {
      response.status = 304;
      response.body.clear();
    } else {
      ++this->lists;
    }
    return response;
  }

  http::Response Control(const http::Request& request) {
    auto query = http::QueryOf(request.target);
    const std::string_view path = http::PathOf(request.target);
    if (path == "/control/instance") {
      this->SetInstance(query["name"], query["state"]);
      return Answer({{"ok", true}});
    }
    if (path == "/control/fault") {
      return this->SetFault(query["name"], std::atol(query["value"].c_str()));
    }
    return Answer({{"reads", this->reads},
                   {"writes", this->writes},
                   {"lists", this->lists}});
  }

  http::Response SetFault(const std::string& name, const std::int64_t value) {
    const std::map<std::string, std::int64_t*> switches{
        {"down", &this->faults.down},
        {"slow_ms", &this->faults.slow_ms},
        {"lose_answers", &this->faults.lose_answers},
        {"list_lag_ms", &this->faults.list_lag_ms}};
    const auto found = switches.find(name);
    if (found == switches.end()) {
      return Answer({{"error", "no such fault"}}, 404);
    }
    *found->second = value;
    return Answer({{"ok", true}});
  }

  void SetInstance(const std::string& name, const std::string& state) {
    this->After(this->faults.list_lag_ms, [this, name, state] {
      if (state == "gone") {
        this->shown.erase(name);
      } else {
        this->shown[name] = state;
      }
    });
  }

  void After(const std::int64_t milliseconds, std::function<void()> action) {
    if (milliseconds == 0) {
      action();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
    timer->expires_after(std::chrono::milliseconds{milliseconds});
    timer->async_wait([timer, action = std::move(action)](auto) { action(); });
  }

  boost::asio::io_context& context;
  std::shared_ptr<http::Server> server;
  stand_ins::Table table;
  std::map<std::string, std::string> objects;
  std::map<std::string, std::string> shown;
  Faults faults;
  std::int64_t reads = 0;
  std::int64_t writes = 0;
  /** Lists that were sent whole. */
  std::int64_t lists = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Stand-in for the platform: table, object store, list of instances."};
  std::string address;
  app.add_option("--address", address, "Address to listen on")->required();
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context context{1};
  Platform platform{context,
                    http::ParseAddress(address).value_or(http::Address{})};
  const auto listening = platform.GetServer().Listen();
  if (!core::Succeeded(listening)) {
    std::fprintf(stderr, "stand_in_platform: %s\n",
                 core::ProblemOf(listening).c_str());
    return 1;
  }
  boost::asio::signal_set signals{context, SIGTERM, SIGINT};
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}
