//===- CallContext.cpp - State shared by all calls of an entry ------------===//
//
// See CallContext.h.
//
//===----------------------------------------------------------------------===//

#include "figlift-entry/CallContext.h"

namespace figlift::entry {

RefusedWork::RefusedWork(metrics::Registry &Registry,
                         const std::string &BackEnd)
    : PrefillTokens(Registry.counter("entry_refused_prefill_tokens_total",
                                     "Prompt tokens refused by the entry.",
                                     {{"back_end", BackEnd}})),
      DecodeTokens(Registry.counter("entry_refused_decode_tokens_total",
                                    "Output tokens refused by the entry.",
                                    {{"back_end", BackEnd}})) {}

CallMetrics::CallMetrics(metrics::Registry &Registry)
    : Metrics(Registry),
      Attempts(Registry.counter("entry_attempts_total",
                                "Attempts sent to agents, resumes included.")),
      Retries(Registry.counter("entry_retries_total",
                               "Attempts after the first of a request.")),
      Resumes(Registry.counter("entry_resumes_total",
                               "Answers resumed at the agent that held them.")),
      Continuations(Registry.counter("entry_continuations_total",
                                     "Answers continued on another target.")),
      TakenOver(
          Registry.counter("entry_answers_taken_over_total",
                           "Answers taken over from earlier calls with the "
                           "same idempotency key.")),
      FramesDropped(Registry.counter(
          "entry_frames_dropped_total",
          "Dropped frames: other attempts or duplicate tokens.")),
      AnswerGaps(
          Registry.counter("entry_answer_gaps_total",
                           "Attempts abandoned because of missing tokens.")),
      Tokens(Registry.counter("entry_tokens_total",
                              "Tokens delivered to callers.")),
      InFlight(Registry.gauge("entry_requests_in_flight",
                              "Requests that have not ended.")),
      FirstTokenTime(Registry.summary("entry_first_token_seconds",
                                      "Time until the first token.")),
      RequestTime(Registry.summary("entry_request_seconds",
                                   "Time until the end of the answer.")) {}

void CallMetrics::recordEnd(ResultCode Code) {
  Metrics
      .counter("entry_requests_total", "Requests ended, by result code.",
               {{"code", std::to_string(static_cast<int>(Code))}})
      .add();
}

void CallMetrics::recordRefusal(const std::string &BackEnd,
                                uint64_t PrefillTokens, uint64_t DecodeTokens) {
  const RefusedWork Totals(Metrics, BackEnd);
  Totals.PrefillTokens.add(PrefillTokens);
  Totals.DecodeTokens.add(DecodeTokens);
}

bool WorkspaceTracker::tryAcquire(const std::string &Workspace,
                                  unsigned Maximum) {
  const std::lock_guard Lock(m_Mutex);
  unsigned &InFlight = m_InFlight[Workspace];
  if (InFlight >= Maximum)
    return false;
  ++InFlight;
  return true;
}

void WorkspaceTracker::release(const std::string &Workspace) {
  const std::lock_guard Lock(m_Mutex);
  const auto Iterator = m_InFlight.find(Workspace);
  if (Iterator != m_InFlight.end() && --Iterator->second == 0)
    m_InFlight.erase(Iterator);
}

} // namespace figlift::entry
