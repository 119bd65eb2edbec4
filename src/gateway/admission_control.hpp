// What limits the requests at one gateway: the quotas of tenants, and the retry budgets of services. Both are
// token buckets (Admission) that relays grant tokens to; the grants and the demands for them go with the
// follow requests of ControlClient. A state machine without sockets or timers.
#pragma once

#include <string>

#include "fleet/follow_messages.hpp"
#include "quota/admission.hpp"
#include "quota/rate_meter.hpp"
#include "settings/configuration.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class AdmissionControl {
 public:
  using Millis = double;  // of the steady clock

  explicit AdmissionControl(const ServiceBounds& bounds);

  // Limits the tenants and the services of this configuration, and no others.
  void configure(const Configuration& configuration);

  // A token of the tenant's quota; `draw` from 0 to below 1. `again`: the same request has asked before.
  Admission::Verdict takeToken(Millis now, const std::string& tenant, double draw, bool again = false);
  // An admitted request ended; its token comes back where it has not run.
  void requestEnded(Millis now, const std::string& tenant, bool ran);

  // A request for the service was admitted: retry budgets follow the rate of those.
  void countRequest(const std::string& service) { requestRates_.count(service); }
  // Whether one retry to the service may be sent, which takes a token of its budget.
  bool takeRetryToken(Millis now, const std::string& service);
  // The retry ended; its token comes back where it has not reached a server.
  void retryEnded(Millis now, const std::string& service, bool delivered);

  // How urgently more tokens are needed.
  Admission::Need need() const { return std::max(quotas_.need(), retries_.need()); }
  // Puts the demands for tokens into a follow request.
  void addDemands(Millis now, ReportScope scope, FollowRequest& request);
  // The same as the gateway shuts down: all that it holds goes back.
  void addFinalDemands(Millis now, FollowRequest& request);
  // The follow request that left at `sentAt` was answered.
  void responseReceived(Millis now, const FollowResponse& response, Millis sentAt);
  // Or it was not.
  void requestFailed();

 private:
  const bool limitsRetries_;
  Admission quotas_;   // by tenant
  Admission retries_;  // by service
  RateMeter requestRates_;
};

}  // namespace lilacmux
