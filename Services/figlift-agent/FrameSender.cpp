//===- FrameSender.cpp - Sends the frames of an answer to an entry --------===//
//
// The stream is finished after its last frame.
//
//===----------------------------------------------------------------------===//

#include "FrameSender.h"

#include "Frames.h"

#include "LibLog/Log.h"

namespace figlift::agent {

/// Retry-After of refusals that are expected to be brief and that name no time.
static constexpr std::chrono::milliseconds DefaultRetryAfter{200};

void FrameSender::send(const AttemptStream &To, wire::RunFrame Frame,
                       bool WithLoad) {
  Frame.set_request_id(To.RequestId);
  Frame.set_attempt_id(To.AttemptId);
  Frame.set_revision(m_Sources.CurrentRevision());
  Frame.set_clock(m_Shared.Events.clockToSend());
  if (WithLoad)
    *Frame.mutable_load() = m_Sources.CurrentLoad();
  m_Writer.send(To.Stream, Frame);
}

void FrameSender::finish(const AttemptStream &To, wire::RunFrame Frame) {
  send(To, std::move(Frame), true);
  m_Writer.finish(To.Stream);
}

void FrameSender::finish(const AttemptStream &To, Error Reason,
                         uint32_t TokensProduced) {
  const ResultCodeInfo &CodeInfo = resultCodeInfo(Reason.Code);
  const bool Refused = CodeInfo.Executed == Execution::NotRun;
  if (Refused && CodeInfo.MayRetry && !Reason.RetryAfter)
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
