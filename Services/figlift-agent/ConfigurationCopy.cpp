//===- ConfigurationCopy.cpp - Records that this agent has in force -------===//
//
// Withdrawn records are kept as such, so that a peer learns of them.
//
//===----------------------------------------------------------------------===//

#include "ConfigurationCopy.h"

#include "LibLog/Log.h"

namespace figlift::agent {

static std::optional<record::Record> parse(const wire::Record &Sent) {
  if (Sent.withdrawn())
    return std::nullopt;
  auto Parsed = record::parseRecord(Sent.json());
  if (Parsed)
    return std::move(Parsed.value());
  log::logError(log::Level::Error, "record-unreadable", Parsed.error());
  return std::nullopt;
}

ConfigurationCopy::Outcome ConfigurationCopy::apply(
    uint64_t Head, uint64_t Base, bool Full,
    const google::protobuf::RepeatedPtrField<wire::Record> &From) {
  // Never back: an entry that lags behind, or a late message, changes nothing.
  if (m_Known && Head <= m_Revision)
    return Outcome::Unchanged;
  const bool Complete = Full || Base == 0 || (m_Known && Base <= m_Revision);
  if (!Complete)
    return Outcome::Gap;
  if (Full)
    m_Records.clear();
  for (const wire::Record &Record : From) {
    Held &Line = m_Records[{Record.kind(), Record.name()}];
    if (Line.Sent.revision() <= Record.revision())
      Line = {Record, parse(Record)};
  }
  m_Revision = Head;
  m_Known = true;
  return Outcome::Advanced;
}

const record::Record *ConfigurationCopy::find(const std::string &Kind,
                                              const std::string &Name) const {
  const auto Found = m_Records.find({Kind, Name});
  if (Found == m_Records.end() || !Found->second.Parsed)
    return nullptr;
  return &*Found->second.Parsed;
}

const record::BackEnd *
ConfigurationCopy::backEnd(const std::string &Name) const {
  const record::Record *Found = find("backEnd", Name);
  return Found ? std::get_if<record::BackEnd>(&Found->Spec) : nullptr;
}

record::TargetIntent
ConfigurationCopy::intentOf(const std::string &Target) const {
  const record::Record *Found = find("target", Target);
  const auto *Wish =
      Found ? std::get_if<record::TargetWish>(&Found->Spec) : nullptr;
  return Wish ? Wish->Intent : record::TargetIntent::Serve;
}

std::set<std::string> ConfigurationCopy::leavingTargets() const {
  std::set<std::string> Out;
  for (const auto &[Name, Line] : m_Records)
    if (Name.first == "target" &&
        intentOf(Name.second) != record::TargetIntent::Serve)
      Out.insert(Name.second);
  return Out;
}

wire::ConfigurationReply ConfigurationCopy::reply(uint64_t After) const {
  wire::ConfigurationReply Out;
  Out.set_head_revision(m_Revision);
  Out.set_full(After == 0);
  for (const auto &[Name, Line] : m_Records)
    if (Line.Sent.revision() > After)
      *Out.add_records() = Line.Sent;
  return Out;
}

} // namespace figlift::agent
