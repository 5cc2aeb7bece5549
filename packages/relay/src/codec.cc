#include "internal/codec.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace trefoilbend::relay::internal {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::string ToString(const capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::string ToString(const capnp::Data::Reader data) {
  return {data.asChars().begin(), data.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void Encode(const core::Fields& fields, capnp::List<wire::Field>::Builder out) {
  for (capnp::uint at = 0; at < out.size(); ++at) {
    out[at].setName(fields[at].first.c_str());
    out[at].setValue(fields[at].second.c_str());
  }
}

core::Fields Decode(const capnp::List<wire::Field>::Reader in) {
  core::Fields fields;
  for (const auto& field : in) {
    fields.emplace_back(ToString(field.getName()), ToString(field.getValue()));
  }
  return fields;
}

core::RefusalReason ReasonOf(const std::uint8_t number) noexcept {
  constexpr auto kLast =
      static_cast<std::uint8_t>(core::RefusalReason::kKeyNotClaimed);
  return static_cast<core::RefusalReason>(std::min(number, kLast));
}

}  // namespace

void Encode(const PassCall& call, const core::TimePoint now,
            wire::Call::Builder out) {
  const core::CallRequest& request = *call.request;
  out.setHomeEntry(call.key.home.entry.Text().c_str());
  out.setHomeIncarnation(call.key.home.incarnation.Value());
  out.setIssuedMilliseconds(call.key.home.issued.time_since_epoch().count());
  out.setKey(call.key.text.c_str());
  out.setService(request.service.Text().c_str());
  out.setRoute(request.route.Text().c_str());
  out.setMethod(request.method.c_str());
  out.setPath(request.path.c_str());
  Encode(request.fields,
         out.initFields(static_cast<capnp::uint>(request.fields.size())));
  out.setBody(ToData(request.body));
  out.setUrgent(request.urgency == core::Urgency::kUrgent);
  out.setTimeoutMicroseconds(
      std::chrono::duration_cast<microseconds>(request.deadline - now).count());
}

CallReceived Decode(const wire::Call::Reader in, const core::TimePoint now) {
  auto request = std::make_shared<core::CallRequest>();
  request->service = core::ServiceName{ToString(in.getService())};
  request->route = core::RouteName{ToString(in.getRoute())};
  request->method = ToString(in.getMethod());
  request->path = ToString(in.getPath());
  request->fields = Decode(in.getFields());
  request->body = ToString(in.getBody());
  request->idempotent = false;
  request->urgency =
      in.getUrgent() ? core::Urgency::kUrgent : core::Urgency::kOrdinary;
  request->deadline = now + microseconds{in.getTimeoutMicroseconds()};
  const idempotency::Home home{
      .entry = core::InstanceName{ToString(in.getHomeEntry())},
      .incarnation = core::Incarnation{in.getHomeIncarnation()},
      .issued =
          idempotency::IssueTime{milliseconds{in.getIssuedMilliseconds()}}};
  CallReceived call{.received = {},
                    .key = {.home = home,
                            .service = request->service,
                            .text = ToString(in.getKey())},
                    .request = {}};
  call.request = std::move(request);
  return call;
}

void Encode(const idempotency::Result& result, wire::Result::Builder out) {
  if (const auto* refusal = std::get_if<core::Refusal>(&result)) {
    auto message = out.initRefusal();
    message.setNotRun(refusal->run == core::RunState::kNotRun);
    message.setReason(static_cast<std::uint8_t>(refusal->reason));
    message.setRetryAfterMilliseconds(refusal->retry_after.count());
    return;
  }
  const core::AnswerHead& answer = *std::get<idempotency::KeptAnswer>(result);
  auto message = out.initAnswer();
  message.setStatus(answer.status);
  Encode(answer.fields,
         message.initFields(static_cast<capnp::uint>(answer.fields.size())));
  message.setBody(ToData(answer.body));
}

idempotency::Result Decode(const wire::Result::Reader in) {
  if (in.isRefusal()) {
    const auto refusal = in.getRefusal();
    return core::Refusal{
        .run = refusal.getNotRun() ? core::RunState::kNotRun
                                   : core::RunState::kUnknown,
        .reason = ReasonOf(refusal.getReason()),
        .retry_after = milliseconds{refusal.getRetryAfterMilliseconds()}};
  }
  const auto answer = in.getAnswer();
  std::string body = ToString(answer.getBody());
  const std::uint64_t length = body.size();
  return std::make_shared<const core::AnswerHead>(
      core::AnswerHead{.status = answer.getStatus(),
                       .fields = Decode(answer.getFields()),
                       .length = length,
                       .body = std::move(body),
                       .complete = true});
}

}  // namespace trefoilbend::relay::internal
