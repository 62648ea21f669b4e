//===- RepeatRules.cpp - What follows the end of a send -------------------===//
//
// Which ends prove that nothing ran.
//
//===----------------------------------------------------------------------===//

#include "LibDispatch/RepeatRules.h"

namespace figlift::dispatch {

bool mayHaveRun(const SendEnd &End) {
  return !std::holds_alternative<NotSent>(End) &&
         !std::holds_alternative<Rejected>(End);
}

std::string_view describe(const SendEnd &How) {
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
    std::string_view operator()(const BrokeOff &) const { return "broke off"; }
    std::string_view operator()(const TookTooLong &) const { return "overdue"; }
  };
  return std::visit(Namer{}, How);
}

} // namespace figlift::dispatch
