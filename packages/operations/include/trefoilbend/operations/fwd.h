#ifndef TREFOILBEND_OPERATIONS_FWD_H_
#define TREFOILBEND_OPERATIONS_FWD_H_

namespace trefoilbend::operations {

struct Options;

struct Operator;
struct AuditFilter;
struct RemainingService;

class Operators;
class OperationsDuty;

}  // namespace trefoilbend::operations

#endif  // TREFOILBEND_OPERATIONS_FWD_H_
