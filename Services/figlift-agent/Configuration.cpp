//===- Configuration.cpp - Keeps the configuration up to date -------------===//
//
// Pushes of entries are the usual way; fetching is for what they miss.
//
//===----------------------------------------------------------------------===//

#include "Configuration.h"

#include "LibLog/Log.h"

#include <utility>

namespace figlift::agent {

/// Work that waits longer for its configuration is refused.
static constexpr std::chrono::milliseconds WaitLimit{500};

void Configuration::take(
    uint64_t Head, uint64_t Base, bool Full,
    const google::protobuf::RepeatedPtrField<wire::Record> &Records) {
  const auto How = m_Copy.apply(Head, Base, Full, Records);
  if (How == ConfigurationCopy::Outcome::Gap)
    return fetch();
  if (How == ConfigurationCopy::Outcome::Unchanged)
    return;
  m_Shared.Events.record(
      timeline::kinds::RevisionInForce,
      {timeline::SubjectType::Process, m_Shared.Settings.Process.Id},
      {{"revision", m_Copy.revision()}});
  log::logEvent(log::Level::Info, "revision-in-force",
                {{"revision", m_Copy.revision()}});
  m_OnChange();
  for (Waiting &Waiter : std::exchange(m_Waiting, {})) {
    if (Waiter.Revision <= m_Copy.revision())
      Waiter.Then(true);
    else
      m_Waiting.push_back(std::move(Waiter));
  }
}

void Configuration::onSync(const wire::SyncUp &Message) {
  take(Message.head_revision(), Message.base_revision(), Message.full(),
       Message.records());
}

void Configuration::onConfiguration(StreamId Stream,
                                    const wire::ConfigurationRequest &Request) {
  m_Parts.Back.send(Stream, m_Copy.reply(Request.after_revision()));
  m_Parts.Back.finish(Stream);
}

void Configuration::require(uint64_t Revision, std::function<void(bool)> Then) {
  if (m_Copy.known() && Revision <= m_Copy.revision())
    return Then(true);
  m_Waiting.push_back(
      {Revision, std::move(Then), BootClock::now() + WaitLimit});
  m_Shared.Decisions.after(WaitLimit, [this] { expire(); });
  fetch();
}

void Configuration::expire() {
  const BootTime Now = BootClock::now();
  for (Waiting &Waiter : std::exchange(m_Waiting, {})) {
    if (Waiter.Until <= Now)
      Waiter.Then(false);
    else
      m_Waiting.push_back(std::move(Waiter));
  }
}

void Configuration::fetch() {
  const auto Entries = m_Parts.Peers.entries();
  if (m_Fetching || Entries.empty())
    return;
  m_Fetching = true;
  wire::ConfigurationRequest Request;
  Request.set_after_revision(m_Copy.revision());
  Request.set_sender(m_Shared.Settings.Process.Id);
  const uint64_t Base = m_Copy.revision();
  m_Parts.Client.ask(Entries[m_NextEntry % Entries.size()],
                     wire::Method::Configuration, {Request.SerializeAsString()},
                     [this, Base](const Result<std::string> &Answer) {
                       m_Fetching = false;
                       wire::ConfigurationReply Reply;
                       if (!Answer || !Reply.ParseFromString(Answer.value())) {
                         ++m_NextEntry;
                         return;
                       }
                       take(Reply.head_revision(), Base, Reply.full(),
                            Reply.records());
                     });
}

} // namespace figlift::agent
