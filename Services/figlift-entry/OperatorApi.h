//===- OperatorApi.h - HTTP routes for operators ----------------*- C++ -*-===//
//
// Forwards requests below /operator/v1/ to LibConfig's operator service, and
// provides it with the status of the targets and the other entries.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "figlift-entry/Fleet.h"
#include "figlift-entry/PeerConfiguration.h"

#include "LibConfig/OperatorService.h"
#include "LibConfig/StatusProvider.h"
#include "LibHttp/Server.h"
#include "LibTimeline/Timeline.h"

#include <string>
#include <vector>

namespace figlift::entry {

/// Thread-safe.
class EntryStatusProvider final : public config::StatusProvider {
public:
  struct Dependencies {
    std::string EntryId;
    const Fleet &Targets;
    const PeerConfiguration &Peers;
    const ServingStatePointer &State;
    const timeline::Timeline &Events;
  };

  explicit EntryStatusProvider(Dependencies Services)
      : m_Dependencies(std::move(Services)) {}

  std::string entryId() const override { return m_Dependencies.EntryId; }
  std::vector<config::TargetStatus> targets() const override;
  std::vector<config::EntryStatus> entries() const override;
  std::vector<std::string> explain(const std::string &Id) const override;

private:
  config::TargetStatus describe(const membership::TargetState &Target) const;

  const Dependencies m_Dependencies;
};

/// \p Service must outlive the server.
std::vector<http::Route> operatorRoutes(config::OperatorService &Service);

} // namespace figlift::entry
