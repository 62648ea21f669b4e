//===- Configuration.h - Keeps the configuration up to date -----*- C++ -*-===//
//
// Takes what entries push, and fetches from them when a message shows that
// this agent is behind. Work that was sent under a newer revision waits for
// it, for a short time. Loop thread only.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "ConfigurationCopy.h"
#include "Fleet.h"
#include "PeerClient.h"
#include "Replies.h"

#include <functional>
#include <vector>

namespace figlift::agent {

class Configuration {
public:
  struct Parts {
    Replies &Back;
    PeerClient &Client;
    Fleet &Peers;
  };

  Configuration(Context Shared, Parts Of, std::function<void()> OnChange)
      : m_Shared(Shared), m_Parts(Of), m_OnChange(std::move(OnChange)) {}

  void onSync(const wire::SyncUp &Message);
  void onConfiguration(StreamId Stream,
                       const wire::ConfigurationRequest &Request);
  /// Calls \p Then with true as soon as \p Revision is in force, at once when
  /// it is already, and with false when it could not be had in time.
  void require(uint64_t Revision, std::function<void(bool)> Then);
  const ConfigurationCopy &inForce() const { return m_Copy; }

private:
  struct Waiting {
    uint64_t Revision;
    std::function<void(bool)> Then;
    BootTime Until;
  };

  void take(uint64_t Head, uint64_t Base, bool Full,
            const google::protobuf::RepeatedPtrField<wire::Record> &Records);
  void fetch();
  void expire();

  Context m_Shared;
  Parts m_Parts;
  std::function<void()> m_OnChange;
  ConfigurationCopy m_Copy;
  std::vector<Waiting> m_Waiting;
  bool m_Fetching = false;
  /// Entry that is asked next; each failure moves on to another one.
  size_t m_NextEntry = 0;
};

} // namespace figlift::agent
