//===- BrokenOffAnswer.cpp - An answer that is not read to its end --------===//
//
// See BrokenOffAnswer.h.
//
//===----------------------------------------------------------------------===//

#include "BrokenOffAnswer.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

void recordBrokenOff(Context &Shared, const BrokenOffAnswer &Answer) {
  Shared.Metrics
      .counter("figlift_gateway_answers_broken_off_total",
               "Answers of servers that were not read to their end",
               {{"reason", std::string(Answer.Reason)}})
      .add();
  if (Shared.Log.allows(LineKind::Notable, BootClock::now()))
    log::logRequest(log::Level::Warning, "answer-broken-off", Answer.AttemptId,
                    {},
                    {{"target", Answer.Target},
                     {"reason", Answer.Reason},
                     {"status", Answer.Status},
                     {"bodyBytes", Answer.BodyBytes},
                     {"heldBytes", Shared.Memory.used()}});
}

} // namespace figlift::gateway
