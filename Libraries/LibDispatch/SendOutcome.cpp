//===- SendOutcome.cpp - How a send of a request ended --------------------===//
//
// Classifies and names the outcomes of a send.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/SendOutcome.h"

namespace figlift::dispatch {

bool mayHaveRun(const SendOutcome &Outcome) {
  return !std::holds_alternative<NotSent>(Outcome) &&
         !std::holds_alternative<Rejected>(Outcome);
}

std::string_view describe(const SendOutcome &Outcome) {
  struct Namer {
    std::string_view operator()(const NotSent &) const {
      return "no connection";
    }
    std::string_view operator()(const Rejected &) const {
      return "rejected, not run";
    }
    std::string_view operator()(const ServerFailed &) const {
      return "server failed";
    }
    std::string_view operator()(const ConnectionLost &) const {
      return "broke off";
    }
    std::string_view operator()(const TimedOut &) const { return "overdue"; }
  };
  return std::visit(Namer{}, Outcome);
}

} // namespace figlift::dispatch
