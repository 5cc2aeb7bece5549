#include "trefoilbend/configuration/follower.h"

#include <algorithm>
#include <utility>

#include "trefoilbend/core/invariant.h"
#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::configuration {

namespace {

std::optional<inventory::Object> ObjectNow(
    const inventory::Configuration& configuration,
    const inventory::ObjectKey& key) {
  const auto found = configuration.Objects().find(key);
  return found == configuration.Objects().end() ? std::nullopt
                                                : std::optional{found->second};
}

bool Touches(const inventory::Revised& revised,
             const inventory::ObjectKey& key) {
  return std::any_of(revised.changes.begin(), revised.changes.end(),
                     [&](const inventory::Change& change) {
                       return inventory::KeyOf(change.after
                                                   ? *change.after
                                                   : *change.before) == key;
                     });
}

}  // namespace

Follower::Follower() : current(inventory::Configuration::Builder{}.Build()) {}

std::string Follower::After() const {
  return inventory::ChangeKey(this->current->Revision());
}

std::optional<std::string> Follower::Take(
    const std::vector<platform::Row>& rows) {
  if (rows.empty()) {
    return std::nullopt;
  }
  inventory::Configuration::Builder builder{*this->current};
  core::Revision newest = this->current->Revision();
  std::optional<std::string> problem;
  for (const platform::Row& row : rows) {
    auto revised = inventory::DecodeRevised(row.value);
    if (revised && revised->revision <= newest) {
      continue;
    }
    if (!revised || revised->revision != newest.Next()) {
      problem =
          "row " + row.key + " is malformed, of a newer format or out of order";
      break;
    }
    newest = revised->revision;
    builder.Apply(*revised);
    this->recent.push_back(std::move(*revised));
  }
  if (this->recent.size() > kRecent) {
    this->recent.erase(
        this->recent.begin(),
        this->recent.end() - static_cast<std::ptrdiff_t>(kRecent));
  }
  core::CheckInvariant(newest >= this->current->Revision(),
                       "the revision never falls");
  this->current = builder.Build();
  return problem;
}

bool Follower::Restore(const inventory::ConfigurationPtr& configuration) {
  if (configuration->Revision() <= this->current->Revision()) {
    return false;
  }
  this->current = configuration;
  this->recent.clear();
  return true;
}

const inventory::Revised* Follower::FindChange(
    const std::string& change_id) const noexcept {
  const auto found = std::find_if(this->recent.rbegin(), this->recent.rend(),
                                  [&](const inventory::Revised& one) {
                                    return one.change_id == change_id;
                                  });
  return found == this->recent.rend() ? nullptr : &*found;
}

std::variant<platform::Transaction, ChangeClash> Follower::Prepare(
    const ChangeRequest& request, const std::string& at,
    const core::InstanceName& by) const {
  if (request.based_on && *request.based_on != this->current->Revision()) {
    return ChangeClash{this->recent.empty() ? inventory::Revised{}
                                            : this->recent.back()};
  }
  for (const inventory::Change& change : request.changes) {
    const inventory::ObjectKey key =
        inventory::KeyOf(change.after ? *change.after : *change.before);
    if (ObjectNow(*this->current, key) == change.before) {
      continue;
    }
    const auto other = std::find_if(
        this->recent.rbegin(), this->recent.rend(),
        [&](const inventory::Revised& one) { return Touches(one, key); });
    return ChangeClash{other == this->recent.rend() ? inventory::Revised{}
                                                    : *other};
  }
  const core::Revision before = this->current->Revision();
  const inventory::Revised revised{.revision = before.Next(),
                                   .change_id = request.change_id,
                                   .who = request.who,
                                   .why = request.why,
                                   .at = at,
                                   .by = by,
                                   .changes = request.changes};
  const std::string number = std::to_string(revised.revision.Value());
  platform::Transaction transaction{
      .conditions = {{.key = std::string{inventory::kHeadKey},
                      .position =
                          platform::Position::WithoutEra(before.Value())},
                     {.key = inventory::ChangeKey(revised.revision),
                      .position = platform::kAbsent},
                     {.key = inventory::ChangeIdKey(request.change_id),
                      .position = platform::kAbsent}},
      .writes = {
          {.key = std::string{inventory::kHeadKey}, .value = number},
          {.key = inventory::ChangeKey(revised.revision),
           .value = inventory::Encode(revised)},
          {.key = inventory::ChangeIdKey(request.change_id), .value = number}}};
  transaction.conditions.insert(transaction.conditions.end(),
                                request.fences.begin(), request.fences.end());
  return transaction;
}

}  // namespace trefoilbend::configuration
