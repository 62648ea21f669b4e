//===- ConfigWriter.cpp - Applies a configuration change ------------------===//
//
// State transitions. The head row is read first and the operation row last: if
// the head has changed and the operation row, read afterwards, is absent, a
// commit that expected the old head can no longer take effect.
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
  std::string Canonical;
  for (const auto &[Kind, Name, Text, Withdraw] : Request.Changes)
    Canonical +=
        Kind + '\n' + Name + '\n' + (Withdraw ? "-" : "+") + Text + '\0';
  if (Request.IfVersion)
    Canonical += std::to_string(*Request.IfVersion);
  char Digits[17];
  std::snprintf(Digits, sizeof Digits, "%016llx",
                static_cast<unsigned long long>(
                    XXH64(Canonical.data(), Canonical.size(), 0)));
  return Digits;
}

ConfigWriter::ConfigWriter(ChangeRequest Request, WriterOptions Options)
    : m_Request(std::move(Request)), m_Options(Options),
      m_Digest(digestOf(m_Request)) {}

std::vector<Action> ConfigWriter::step(const Event &Event, BootTime) {
  if (m_State == State::Done)
    return {};
  return std::visit([this](const auto &Alternative) { return on(Alternative); },
                    Event);
}

std::vector<Action> ConfigWriter::on(const Begin &) {
  if (m_State != State::Idle)
    return {};
  return read(std::chrono::milliseconds(0));
}

std::vector<Action> ConfigWriter::read(std::chrono::milliseconds Delay) {
  m_State = State::Reading;
  ReadRows Read{{std::string(HeadKey)}, Delay};
  for (const Change &Requested : m_Request.Changes)
    Read.Keys.push_back(recordKey(Requested.Kind, Requested.Name));
  Read.Keys.push_back(operationKey(m_Request.OperationId));
  return {std::move(Read)};
}

std::vector<Action> ConfigWriter::retryRead(Error ErrorIfExhausted) {
  if (m_Retries >= m_Options.MaximumRetries)
    return finishWithError(std::move(ErrorIfExhausted));
  auto Delay = m_Options.FirstDelay * (1u << std::min(m_Retries, 10u));
  ++m_Retries;
  return read(
      std::min<std::chrono::milliseconds>(Delay, m_Options.MaximumDelay));
}

std::vector<Action> ConfigWriter::finish(Result<ChangeOutcome> Outcome) {
  m_State = State::Done;
  return {Finish{std::move(Outcome)}};
}

/// While a commit without a response may still take effect, no error may be
/// reported that states that nothing was written.
std::vector<Action> ConfigWriter::finishWithError(Error Cause) {
  if (m_UnresolvedHeadVersion)
    Cause = {ResultCode::StoreOutcomeUnknown,
             "the change may have taken effect; retry with the same "
             "operation id (" +
                 Cause.Message + ")",
             {},
             std::nullopt};
  return finish(outcome::failure(std::move(Cause)));
}

std::vector<Action> ConfigWriter::on(const ReadFailed &) {
  if (m_State != State::Reading)
    return {};
  Error Cause{ResultCode::StoreUnavailable, "the table cannot be read", {}, {}};
  if (!m_UnresolvedHeadVersion)
    return finishWithError(std::move(Cause));
  return retryRead(std::move(Cause));
}

/// Detects conflicting changes, and withdrawals of records that do not exist.
Result<void>
ConfigWriter::checkVersions(const std::vector<StoredRecord> &Records) {
  std::vector<uint64_t> Versions;
  Versions.reserve(Records.size());
  for (const StoredRecord &Record : Records)
    Versions.push_back(Record.Version);
  if (!m_FirstVersions)
    m_FirstVersions = Versions;
  for (size_t Index = 0; Index < Records.size(); ++Index) {
    const StoredRecord &Current = Records[Index];
    uint64_t Expected = m_Request.IfVersion.value_or((*m_FirstVersions)[Index]);
    if (Current.Version != Expected)
      return failure(ResultCode::RecordVersionConflict,
                     Current.Kind + " " + Current.Name + " has version " +
                         std::to_string(Current.Version) + ", expected " +
                         std::to_string(Expected),
                     Current.Kind + "/" + Current.Name);
    bool Absent = Current.Version == 0 || Current.Withdrawn;
    if (m_Request.Changes[Index].Withdraw && Absent)
      return failure(ResultCode::RecordNotFound,
                     "there is no " + Current.Kind + " " + Current.Name,
                     Current.Kind + "/" + Current.Name);
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
      return finishWithError(Applied.error());
    if (Applied.value().Digest != m_Digest)
      return finish(
          failure(ResultCode::KeyReusedForOtherRequest,
                  "the operation id was already used for a different change",
                  "operationId"));
    // The operation was applied by the commit whose response was lost.
    if (Applied.value().Revision == m_Proposed.Revision)
      return finish(m_Proposed);
    return finish(
        ChangeOutcome{Applied.value().Revision, Applied.value().Records, {}});
  }
  if (m_UnresolvedHeadVersion && Head.Version > *m_UnresolvedHeadVersion)
    m_UnresolvedHeadVersion.reset();

  auto Revision = decodeHead(Head);
  if (!Revision)
    return finishWithError(Revision.error());
  std::vector<StoredRecord> Records;
  for (size_t Index = 1; Index + 1 < Rows.size(); ++Index) {
    auto Read = decodeRecord(Rows[Index]);
    if (!Read)
      return finishWithError(Read.error());
    Records.push_back(std::move(Read).value());
  }
  if (auto Allowed = checkVersions(Records); !Allowed)
    return finishWithError(Allowed.error());
  m_State = State::Committing;
  m_ExpectedHeadVersion = Head.Version;
  return {Commit{transaction(Head, Revision.value(), Rows, Records)}};
}

platform::Transaction
ConfigWriter::transaction(const platform::Row &Head, uint64_t Revision,
                          const std::vector<platform::Row> &Rows,
                          const std::vector<StoredRecord> &Records) {
  platform::Transaction Transaction;
  OperationRow Operation;
  Operation.Digest = m_Digest;
  m_Proposed.Changes = {Revision, 0, false, {}};
  for (size_t Index = 0; Index < Records.size(); ++Index) {
    const Change &Requested = m_Request.Changes[Index];
    const platform::Row &Row = Rows[Index + 1];
    StoredRecord Next = Records[Index];
    ++Next.Version;
    Next.Revision = ++Revision;
    Next.Withdrawn = Requested.Withdraw;
    if (!Requested.Withdraw)
      Next.Text = Requested.Text;
    Transaction.Conditions.push_back({Row.Key, Row.Version});
    Transaction.Writes.push_back({Row.Key, encodeRecord(Next)});
    Transaction.Writes.push_back(
        {changeKey(Revision), encodeChange(Next.Kind, Next.Name)});
    if (Revision > m_Options.ChangesKept)
      Transaction.Writes.push_back(
          {changeKey(Revision - m_Options.ChangesKept), std::nullopt});
    Operation.Records.push_back({Next.Kind, Next.Name, Next.Version});
    m_Proposed.Changes.Records.push_back(std::move(Next));
  }
  Operation.Revision = Revision;
  m_Proposed.Changes.Head = Revision;
  m_Proposed.Revision = Revision;
  m_Proposed.Records = Operation.Records;
  std::string Key = operationKey(m_Request.OperationId);
  Transaction.Conditions.push_back({Head.Key, Head.Version});
  Transaction.Conditions.push_back({Key, 0});
  Transaction.Writes.push_back({Head.Key, encodeHead(Revision)});
  Transaction.Writes.push_back({Key, encodeOperation(Operation)});
  return Transaction;
}

std::vector<Action> ConfigWriter::on(const Committed &Event) {
  if (m_State != State::Committing)
    return {};
  Error Cause{Event.Code, Event.Message, {}, std::nullopt};
  switch (Event.Code) {
  case ResultCode::Success:
    return finish(m_Proposed);
  case ResultCode::StoreOutcomeUnknown:
    m_UnresolvedHeadVersion = m_ExpectedHeadVersion;
    return retryRead(std::move(Cause));
  case ResultCode::StoreConflict:
    return retryRead({ResultCode::StoreConflict,
                      "too many concurrent changes",
                      {},
                      std::chrono::milliseconds(200)});
  default:
    return m_UnresolvedHeadVersion ? retryRead(std::move(Cause))
                                   : finishWithError(std::move(Cause));
  }
}

} // namespace figlift::config
