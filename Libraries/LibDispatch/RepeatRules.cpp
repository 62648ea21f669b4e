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

} // namespace figlift::dispatch
