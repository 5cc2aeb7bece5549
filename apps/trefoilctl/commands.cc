#include "commands.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "requests.h"
#include "trefoilbend/inventory/files.h"

namespace trefoilbend::ctl {

namespace {

using nlohmann::json;

void PrintMistakes(const settings::Mistakes& mistakes) {
  for (const settings::Mistake& mistake : mistakes) {
    std::fprintf(stderr, "trefoilctl: %s\n",
                 settings::ToString(mistake).c_str());
  }
}

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream{path}.rdbuf();
  return text.str();
}

}  // namespace

ExitCode Check(const std::string& inventory, const std::string& rules) {
  const auto first = settings::Document::Load(inventory);
  const auto second = settings::Document::Load(rules);
  bool readable = true;
  for (const auto* document : {&first, &second}) {
    if (!core::Succeeded(*document)) {
      PrintMistakes(core::ProblemOf(*document));
      readable = false;
    }
  }
  if (!readable) {
    return kMistake;
  }
  const auto read =
      inventory::ReadFiles(core::ValueOf(first), core::ValueOf(second));
  if (!core::Succeeded(read)) {
    PrintMistakes(core::ProblemOf(read));
    return kMistake;
  }
  std::printf("the files are right: %zu objects\n",
              core::ValueOf(read)->Objects().size());
  return kDone;
}

ExitCode Apply(const Common& common, const ApplyOptions& options) {
  if (const ExitCode checked = Check(options.inventory, options.rules);
      checked != kDone) {
    return checked;
  }
  return Change(common, "/v1/apply",
                {{"inventory", ReadAll(options.inventory)},
                 {"rules", ReadAll(options.rules)}},
                {.who = options.who,
                 .why = options.why,
                 .change_id = options.change_id,
                 .wait = options.wait});
}

ExitCode Show(const Common& common) {
  const auto reply = Get(common, "/v1/configuration");
  if (!reply) {
    return kRefused;
  }
  if (common.json) {
    std::printf("%s\n", reply->body.dump(2).c_str());
    return kDone;
  }
  std::printf("revision %llu\n",
              static_cast<unsigned long long>(
                  reply->body.value("revision", std::uint64_t{0})));
  for (const json& object : reply->body.at("objects")) {
    std::printf("%-12s %-20s %s\n", object.value("kind", "").c_str(),
                object.value("name", "").c_str(),
                object.value("address", "").c_str());
  }
  return kDone;
}

ExitCode Status(const Common& common) {
  const auto reply = Get(common, "/v1/status");
  if (!reply) {
    return kRefused;
  }
  if (common.json) {
    std::printf("%s\n", reply->body.dump(2).c_str());
    return kDone;
  }
  std::printf("%s: revision %llu, %zu entries\n",
              reply->body.value("name", "").c_str(),
              static_cast<unsigned long long>(
                  reply->body.value("revision", std::uint64_t{0})),
              reply->body.at("entries").size());
  return kDone;
}

}  // namespace trefoilbend::ctl
