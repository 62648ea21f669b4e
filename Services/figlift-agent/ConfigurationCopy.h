//===- ConfigurationCopy.h - Records that this agent has in force -*- C++
//-*-===//
//
// Pure: takes deltas and whole sets of records, moves only forward, and gives
// both again to peers.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibRecord/Record.h"
#include "LibWire/Messages.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace figlift::agent {

class ConfigurationCopy {
public:
  enum class Outcome { Unchanged, Advanced, Gap };

  /// \p Base: the delta is complete after this revision. Gap: records between
  /// ours and Base are missing, nothing was taken.
  Outcome apply(uint64_t Head, uint64_t Base, bool Full,
                const google::protobuf::RepeatedPtrField<wire::Record> &From);

  /// A whole set was taken once; before that nothing is in force.
  bool known() const { return m_Known; }
  uint64_t revision() const { return m_Revision; }
  const record::BackEnd *backEnd(const std::string &Name) const;
  record::TargetIntent intentOf(const std::string &Target) const;
  /// Targets that operators drain or retire.
  std::set<std::string> leavingTargets() const;
  wire::ConfigurationReply reply(uint64_t After) const;

private:
  using Name = std::pair<std::string, std::string>;
  struct Held {
    wire::Record Sent;
    /// Absent when withdrawn, or when a newer version of figlift wrote a
    /// record that this one can't read.
    std::optional<record::Record> Parsed;
  };

  const record::Record *find(const std::string &Kind,
                             const std::string &Name) const;

  bool m_Known = false;
  uint64_t m_Revision = 0;
  std::map<Name, Held> m_Records;
};

} // namespace figlift::agent
