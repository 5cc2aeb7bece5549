#ifndef TREFOILBEND_CONFIGURATION_FWD_H_
#define TREFOILBEND_CONFIGURATION_FWD_H_

namespace trefoilbend::configuration {

struct Update;
struct ChangeRequest;
struct ChangeResult;
struct ChangeAccepted;
struct ChangeClash;
struct ChangeRefused;

class Follower;
class ConfigurationDuty;

}  // namespace trefoilbend::configuration

#endif  // TREFOILBEND_CONFIGURATION_FWD_H_
