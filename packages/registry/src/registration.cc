#include "internal/registration.h"

#include <chrono>
#include <random>
#include <string>
#include <variant>

#include "trefoilbend/inventory/codec.h"
#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry::internal {

namespace {

constexpr platform::BackoffLimits kBackoff{
    .first = std::chrono::milliseconds{200},
    .most = std::chrono::milliseconds{1'000}};

/** Removals of a row that an earlier write of this process, performed late, has
 * changed meanwhile. */
constexpr int kMostRemovals = 3;

std::string KeyOf(const inventory::Instance& self) {
  return kEntryRows + self.name.Text();
}

}  // namespace

Registration::Registration(platform::Store& store,
                           boost::asio::io_context& context,
                           const inventory::Instance& self, Metrics& metrics)
    : store(store),
      self(self),
      metrics(metrics),
      timer(context),
      backoff(kBackoff, std::random_device{}()) {}

void Registration::Write(const std::function<void()>& tried) {
  this->written.reset();
  this->store.Transact(
      {.conditions = {},
       .writes = {{.key = KeyOf(this->self),
                   .value = inventory::Encode(inventory::Object{this->self})}}},
      [this, tried](const platform::TransactOutcome& outcome) {
        const auto* done = std::get_if<platform::Committed>(&outcome);
        this->metrics.CountCall("write", done != nullptr);
        tried();
        if (done != nullptr) {
          this->written = done->position;
          this->backoff.Reset();
          this->log.Info("Registered.");
          return;
        }
        this->timer.expires_after(this->backoff.Fail());
        this->timer.async_wait(
            [this, tried](const boost::system::error_code error) {
              if (!error && !this->removed) {
                this->Write(tried);
              }
            });
      });
}

void Registration::NoteMissing(const platform::Position& as_of) {
  if (this->removed || !this->written || as_of.Precedes(*this->written)) {
    return;
  }
  this->log.Warn("The registration is gone, registers again. era={} version={}",
                 as_of.Era().Value(), as_of.Version().Value());
  this->Write([] {});
}

/** Without a known version, the row that is there now is the one to remove: the
 * next process of this entry has not begun. */
void Registration::Remove() {
  this->removed = true;
  if (this->written) {
    this->RemoveAsOf(*this->written);
  } else {
    this->ReadAndRemove();
  }
}

void Registration::ReadAndRemove() {
  this->store.Read(
      KeyOf(this->self), [this](const platform::ReadOutcome& outcome) {
        const auto* found = std::get_if<platform::FoundRow>(&outcome);
        if (found == nullptr) {
          this->OnRemoved(std::get<platform::Unavailable>(outcome));
        } else if (found->row) {
          this->RemoveAsOf(found->row->position);
        }
      });
}

/** The store may perform a call that it did not answer seconds later, when the
 * next process has registered; the condition then no longer holds. */
void Registration::RemoveAsOf(const platform::Position& position) {
  ++this->removals;
  const std::string key = KeyOf(this->self);
  this->store.Transact({.conditions = {{.key = key, .position = position}},
                        .writes = {{.key = key, .value = std::nullopt}}},
                       [this](const platform::TransactOutcome& outcome) {
                         this->OnRemoved(outcome);
                       });
}

void Registration::OnRemoved(const platform::TransactOutcome& outcome) {
  this->metrics.CountCall(
      "write", !std::holds_alternative<platform::Unavailable>(outcome));
  const auto* conflict = std::get_if<platform::Conflict>(&outcome);
  const bool is_there = conflict != nullptr && !conflict->rows.empty() &&
                        !conflict->rows.front().value.empty();
  // The row was written in an era that is over, and may stand in the copy.
  const bool is_outdated = conflict != nullptr && conflict->rows.empty();
  if (is_there && this->removals < kMostRemovals) {
    this->RemoveAsOf(conflict->rows.front().position);
  } else if (is_outdated && this->removals < kMostRemovals) {
    this->ReadAndRemove();
  } else if (!std::holds_alternative<platform::Committed>(outcome)) {
    this->log.Warn(
        "The registration was not taken back; peers will see the heartbeat "
        "stop.");
  }
}

}  // namespace trefoilbend::registry::internal
