//===- Answering.cpp - Sends frames with what rides on them ---------------===//
//
// The last frame of a stream is followed by its end.
//
//===----------------------------------------------------------------------===//

#include "Answering.h"

#include "Frames.h"

#include "LibLog/Log.h"

namespace figlift::agent {

/// For refusals that pass soon and of whose end nothing is known.
static constexpr std::chrono::milliseconds DefaultRetryAfter{200};

void Answering::send(const Reader &To, wire::RunFrame Frame, bool WithLoad) {
  Frame.set_request_id(To.RequestId);
  Frame.set_attempt_id(To.AttemptId);
  Frame.set_revision(m_From.Revision());
  Frame.set_clock(m_Shared.Events.clockToSend());
  if (WithLoad)
    *Frame.mutable_load() = m_From.Load();
  m_Back.send(To.Stream, Frame);
}

void Answering::finish(const Reader &To, wire::RunFrame Frame) {
  send(To, std::move(Frame), true);
  m_Back.finish(To.Stream);
}

void Answering::finish(const Reader &To, Error Reason,
                       uint32_t TokensProduced) {
  const ResultCodeInfo &Row = resultCodeInfo(Reason.Code);
  const bool Refused = Row.Executed == Execution::NotRun;
  if (Refused && Row.MayRetry && !Reason.RetryAfter)
    Reason.RetryAfter = DefaultRetryAfter;
  log::logRequest(
      log::Level::Info, Refused ? "run-refused" : "run-failed", To.RequestId,
      To.AttemptId,
      {{"code", static_cast<int>(Reason.Code)}, {"reason", Reason.Message}});
  const auto Kind = Refused ? timeline::kinds::RequestRefused
                            : timeline::kinds::RequestFailed;
  m_Shared.Events.record(
      Kind, {timeline::SubjectType::Request, To.RequestId},
      {{"code", static_cast<int>(Reason.Code)}, {"attempt", To.AttemptId}});
  finish(To, errorFrame(Reason, TokensProduced));
}

} // namespace figlift::agent
