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
  this->store.Transact(
      {.conditions = {},
       .writes = {{.key = KeyOf(this->self),
                   .value = inventory::Encode(inventory::Object{this->self})}}},
      [this, tried](const platform::TransactOutcome& outcome) {
        const bool done = std::holds_alternative<platform::Committed>(outcome);
        this->metrics.CountCall("write", done);
        tried();
        if (done) {
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

void Registration::Remove() {
  this->removed = true;
  this->store.Transact(
      {.conditions = {},
       .writes = {{.key = KeyOf(this->self), .value = std::nullopt}}},
      [this](const platform::TransactOutcome& outcome) {
        if (!std::holds_alternative<platform::Committed>(outcome)) {
          this->log.Warn(
              "The registration was not taken back; peers will see the "
              "heartbeat stop.");
        }
      });
}

}  // namespace trefoilbend::registry::internal
