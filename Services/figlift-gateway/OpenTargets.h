//===- OpenTargets.h - Targets that accept new work -------------*- C++ -*-===//
//
// The open targets of each service, and the parts of them that a request may
// use. They are kept until the list of servers or the gateway's place in the
// fleet changes.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/ServerSubset.h"
#include "LibDispatch/TargetTable.h"

#include <map>
#include <string>
#include <vector>

namespace figlift::gateway {

class OpenTargets {
public:
  using List = dispatch::ServerRings::List;

  explicit OpenTargets(const dispatch::TargetTable &Table) : m_Table(Table) {}

  /// To be called after each change of the table, before the next request:
  /// the lists point into it.
  void invalidate() { m_Valid = false; }
  void setPlace(const dispatch::GatewayPlace &Place) {
    if (Place != m_Place)
      invalidate();
    m_Place = Place;
  }

  const List &all(const std::string &Service) { return find(Service).All; }
  /// The targets of \p Service for requests without a prompt.
  const List &used(const std::string &Service) { return find(Service).Used; }
  /// The targets of \p Service for prompts of \p Subject; 0 is no subject.
  List usedFor(const std::string &Service, uint64_t Subject) {
    const Lists &Found = find(Service);
    const bool UsesAll = Found.Used.size() == Found.All.size();
    return UsesAll || Subject == 0 ? Found.Used
                                   : Found.Rings.ofSubject(Subject);
  }
  /// Whether used() includes the target.
  bool uses(const std::string &TargetId);

private:
  struct Lists {
    List All;
    List Used;
    dispatch::ServerRings Rings{{}};
  };

  const Lists &find(const std::string &Service) {
    if (!m_Valid)
      update();
    return m_ByService[Service];
  }
  void update();

  const dispatch::TargetTable &m_Table;
  dispatch::GatewayPlace m_Place;
  std::map<std::string, Lists> m_ByService;
  bool m_Valid = false;
};

} // namespace figlift::gateway
