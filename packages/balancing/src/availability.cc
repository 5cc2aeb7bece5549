#include "trefoilbend/balancing/availability.h"

#include <algorithm>

namespace trefoilbend::balancing {

Availability::Availability(const configuration::Update& update) {
  this->listed.reserve(update.listed->size());
  for (const platform::ListedInstance& instance : *update.listed) {
    this->listed.emplace(instance.name.Text(), &instance);
  }
  const auto& objects = update.configuration->Objects();
  for (auto object = objects.lower_bound({inventory::Kind::kOutage, ""});
       object != objects.end() &&
       object->first.kind == inventory::Kind::kOutage;
       ++object) {
    this->outages.push_back(std::get<inventory::Outage>(object->second).name);
  }
}

bool Availability::IsListed(const core::InstanceName& name) const {
  return this->listed.contains(name.Text());
}

bool Availability::IsLive(const core::InstanceName& name) const {
  const auto found = this->listed.find(name.Text());
  return found != this->listed.end() &&
         found->second->state == platform::InstanceState::kLive;
}

core::TimePoint Availability::ColdUntil(const core::InstanceName& name) const {
  const auto found = this->listed.find(name.Text());
  return found == this->listed.end() ? core::TimePoint{}
                                     : found->second->cold_until;
}

bool Availability::IsUsable(const inventory::Instance& target) const {
  return this->IsLive(target.name) &&
         std::find(this->outages.begin(), this->outages.end(),
                   target.data_centre) == this->outages.end();
}

}  // namespace trefoilbend::balancing
