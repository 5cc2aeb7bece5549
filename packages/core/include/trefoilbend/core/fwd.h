#ifndef TREFOILBEND_CORE_FWD_H_
#define TREFOILBEND_CORE_FWD_H_

namespace trefoilbend::core {

template <typename>
class Name;

template <typename>
class Number;

template <typename>
class Ring;

class Clock;
class Duty;
class Log;

struct CallRequest;
struct AnswerHead;
struct AnswerPart;
struct Refusal;

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_FWD_H_
