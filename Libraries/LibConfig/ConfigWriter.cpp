//===- ConfigWriter.cpp - One change of the configuration -----------------===//
//
// The transitions. Rows are read head first and operation last: when the head
// has moved on and the operation row, read after it, is absent, then a commit
// that demanded the old head can't take effect any more.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigWriter.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace figlift::config {

using namespace writer;

std::string digestOf(const ChangeRequest &Request) {
  std::string All;
  for (const auto &[Kind, Name, Text, Withdraw] : Request.Changes)
    All += Kind + '\n' + Name + '\n' + (Withdraw ? "-" : "+") + Text + '\0';
  if (Request.IfVersion)
    All += std::to_string(*Request.IfVersion);
  char Digits[17];
  std::snprintf(
      Digits, sizeof Digits, "%016llx",
      static_cast<unsigned long long>(XXH64(All.data(), All.size(), 0)));
  return Digits;
}

ConfigWriter::ConfigWriter(ChangeRequest Request, WriterOptions Options)
    : m_Request(std::move(Request)), m_Options(Options),
      m_Digest(digestOf(m_Request)) {}

std::vector<Action> ConfigWriter::step(const Event &Event, BootTime) {
  if (m_State == State::Done)
    return {};
  return std::visit([this](const auto &What) { return on(What); }, Event);
}

std::vector<Action> ConfigWriter::on(const Begin &) {
  if (m_State != State::Idle)
    return {};
  return read(std::chrono::milliseconds(0));
}

std::vector<Action> ConfigWriter::read(std::chrono::milliseconds Delay) {
  m_State = State::Reading;
  ReadRows What{{std::string(HeadKey)}, Delay};
  for (const Change &Each : m_Request.Changes)
    What.Keys.push_back(recordKey(Each.Kind, Each.Name));
  What.Keys.push_back(operationKey(m_Request.OperationId));
  return {std::move(What)};
}

std::vector<Action> ConfigWriter::readAgain(Error WhenSpent) {
  if (m_Retries >= m_Options.MaximumRetries)
    return finishBecause(std::move(WhenSpent));
  auto Delay = m_Options.FirstDelay * (1u << std::min(m_Retries, 10u));
  ++m_Retries;
  return read(
      std::min<std::chrono::milliseconds>(Delay, m_Options.MaximumDelay));
}

std::vector<Action> ConfigWriter::finish(Result<ChangeOutcome> Outcome) {
  m_State = State::Done;
  return {Finish{std::move(Outcome)}};
}

/// While a commit without answer may still take effect, no failure may be
/// reported that claims that nothing was written.
std::vector<Action> ConfigWriter::finishBecause(Error Why) {
  if (m_PendingHead)
    Why = {ResultCode::StoreOutcomeUnknown,
           "the change may have been made: send it again with the same "
           "operation id (" +
               Why.Message + ")",
           {},
           std::nullopt};
  return finish(outcome::failure(std::move(Why)));
}

std::vector<Action> ConfigWriter::on(const ReadFailed &) {
  if (m_State != State::Reading)
    return {};
  Error Why{ResultCode::StoreUnavailable, "the table can't be read", {}, {}};
  if (!m_PendingHead)
    return finishBecause(std::move(Why));
  return readAgain(std::move(Why));
}

/// Conflicts with others' changes and withdrawals of what is not there.
Result<void> ConfigWriter::check(const std::vector<Entry> &Found) {
  std::vector<uint64_t> Versions;
  Versions.reserve(Found.size());
  for (const Entry &Each : Found)
    Versions.push_back(Each.Version);
  if (!m_FirstVersions)
    m_FirstVersions = Versions;
  for (size_t Index = 0; Index < Found.size(); ++Index) {
    const Entry &Now = Found[Index];
    uint64_t Expected = m_Request.IfVersion.value_or((*m_FirstVersions)[Index]);
    if (Now.Version != Expected)
      return failure(ResultCode::RecordVersionConflict,
                     Now.Kind + " " + Now.Name + " has version " +
                         std::to_string(Now.Version) + ", expected " +
                         std::to_string(Expected),
                     Now.Kind + "/" + Now.Name);
    bool Absent = Now.Version == 0 || Now.Withdrawn;
    if (m_Request.Changes[Index].Withdraw && Absent)
      return failure(ResultCode::RecordNotFound,
                     "there is no " + Now.Kind + " " + Now.Name,
                     Now.Kind + "/" + Now.Name);
  }
  return success();
}

std::vector<Action> ConfigWriter::on(const RowsRead &Event) {
  const auto &Rows = Event.Rows;
  if (m_State != State::Reading || Rows.size() != m_Request.Changes.size() + 2)
    return {};
  const platform::Row &Head = Rows.front();
  const platform::Row &Operation = Rows.back();
  if (Operation.Version != 0) {
    auto Applied = decodeOperation(Operation);
    if (!Applied)
      return finishBecause(Applied.error());
    if (Applied.value().Digest != m_Digest)
      return finish(failure(ResultCode::KeyReusedForOtherRequest,
                            "the operation id was used for another change",
                            "operationId"));
    // The commit whose answer was lost is the one that was proposed.
    if (Applied.value().Revision == m_Proposed.Revision)
      return finish(m_Proposed);
    return finish(
        ChangeOutcome{Applied.value().Revision, Applied.value().Records, {}});
  }
  if (m_PendingHead && Head.Version > *m_PendingHead)
    m_PendingHead.reset();

  auto Revision = decodeHead(Head);
  if (!Revision)
    return finishBecause(Revision.error());
  std::vector<Entry> Found;
  for (size_t Index = 1; Index + 1 < Rows.size(); ++Index) {
    auto Read = decodeEntry(Rows[Index]);
    if (!Read)
      return finishBecause(Read.error());
    Found.push_back(std::move(Read).value());
  }
  if (auto Allowed = check(Found); !Allowed)
    return finishBecause(Allowed.error());
  m_State = State::Committing;
  m_DemandedHead = Head.Version;
  return {Commit{transaction(Head, Revision.value(), Rows, Found)}};
}

platform::Transaction
ConfigWriter::transaction(const platform::Row &Head, uint64_t Revision,
                          const std::vector<platform::Row> &Rows,
                          const std::vector<Entry> &Found) {
  platform::Transaction What;
  OperationRow Done;
  Done.Digest = m_Digest;
  m_Proposed.Changes = {Revision, 0, false, {}};
  for (size_t Index = 0; Index < Found.size(); ++Index) {
    const Change &Wanted = m_Request.Changes[Index];
    const platform::Row &Row = Rows[Index + 1];
    Entry Next = Found[Index];
    ++Next.Version;
    Next.Revision = ++Revision;
    Next.Withdrawn = Wanted.Withdraw;
    if (!Wanted.Withdraw)
      Next.Text = Wanted.Text;
    What.Conditions.push_back({Row.Key, Row.Version});
    What.Writes.push_back({Row.Key, encodeEntry(Next)});
    What.Writes.push_back(
        {changeKey(Revision), encodeChange(Next.Kind, Next.Name)});
    if (Revision > m_Options.ChangesKept)
      What.Writes.push_back(
          {changeKey(Revision - m_Options.ChangesKept), std::nullopt});
    Done.Records.push_back({Next.Kind, Next.Name, Next.Version});
    m_Proposed.Changes.Entries.push_back(std::move(Next));
  }
  Done.Revision = Revision;
  m_Proposed.Changes.Head = Revision;
  m_Proposed.Revision = Revision;
  m_Proposed.Records = Done.Records;
  std::string Operation = operationKey(m_Request.OperationId);
  What.Conditions.push_back({Head.Key, Head.Version});
  What.Conditions.push_back({Operation, 0});
  What.Writes.push_back({Head.Key, encodeHead(Revision)});
  What.Writes.push_back({Operation, encodeOperation(Done)});
  return What;
}

std::vector<Action> ConfigWriter::on(const Committed &Event) {
  if (m_State != State::Committing)
    return {};
  Error Why{Event.Code, Event.Message, {}, std::nullopt};
  switch (Event.Code) {
  case ResultCode::Success:
    return finish(m_Proposed);
  case ResultCode::StoreOutcomeUnknown:
    m_PendingHead = m_DemandedHead;
    return readAgain(std::move(Why));
  case ResultCode::StoreConflict:
    return readAgain({ResultCode::StoreConflict,
                      "too many other changes at the same time",
                      {},
                      std::chrono::milliseconds(200)});
  default:
    return m_PendingHead ? readAgain(std::move(Why))
                         : finishBecause(std::move(Why));
  }
}

} // namespace figlift::config
