//===- ServerFeedback.cpp - What servers say about themselves -------------===//
//
// See ServerFeedback.h.
//
//===----------------------------------------------------------------------===//

#include "ServerFeedback.h"

#include "LibLog/Log.h"

namespace figlift::gateway {

void ServerFeedback::read(const dispatch::ServerStart &Server,
                          const proxy::ResponseHead &Head,
                          const AnswerCheck &IsServersAnswer, BootTime Now) {
  const slopes::ServerNotices Notices = slopes::decodeServerNotices(Head);
  for (const std::string_view Name : Notices.Invalid)
    recordInvalid(Server, Name, Now);
  for (const std::string &Name : Notices.Unknown)
    recordUnknown(Server, Name, Now);
  if (Notices.Backoff)
    recordBackoff(Server, *Notices.Backoff, Now);
  // A successor at the address does not speak for the server.
  if (Notices.ShuttingDown && IsServersAnswer(Head) && m_OnShutdown)
    m_OnShutdown(Server);
}

void ServerFeedback::recordBackoff(const dispatch::ServerStart &Server,
                                   std::chrono::milliseconds Time,
                                   BootTime Now) {
  ++m_BackoffsReceived;
  if (m_Backoffs.record(Server, Time, Now) &&
      m_Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Info, "server-backoff",
                  {{"target", Server.TargetId},
                   {"forMs", std::chrono::duration<double, std::milli>(Time)},
                   {"backingOff", m_Backoffs.activeCount(Now)}});
}

void ServerFeedback::recordUnknown(const dispatch::ServerStart &Server,
                                   const std::string &Name, BootTime Now) {
  ++m_UnknownFields;
  if (m_UnknownNames.size() >= MaximumUnknownNames)
    return;
  const std::string Shortened = Name.substr(0, MaximumNameLength);
  if (m_UnknownNames.insert(Shortened).second &&
      m_Log.allows(LineKind::State, Now))
    log::logEvent(log::Level::Warning, "server-field-unknown",
                  {{"target", Server.TargetId}, {"field", Shortened}});
}

void ServerFeedback::recordInvalid(const dispatch::ServerStart &Server,
                                   std::string_view Name, BootTime Now) {
  if (m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Warning, "server-field-invalid",
                  {{"target", Server.TargetId}, {"field", Name}});
}

void ServerFeedback::recordHeldBack(const std::string &TargetId, BootTime Now) {
  ++m_HeldBack;
  if (m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Info, "send-held-back", {{"target", TargetId}});
}

void ServerFeedback::recordSkipped(const std::string &TargetId,
                                   const proxy::ResponseHead &Head,
                                   BootTime Now) {
  ++m_SkippedResponses;
  if (m_Log.allows(LineKind::Notable, Now))
    log::logEvent(log::Level::Warning, "answer-skipped",
                  {{"target", TargetId},
                   {"status", Head.Status},
                   {"answers", slopes::decodeServerFields(Head).AttemptId}});
}

} // namespace figlift::gateway
