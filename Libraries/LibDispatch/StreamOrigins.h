//===- StreamOrigins.h - Software versions at which streams began -*- C++ -*-=//
//
// What two software versions of a server write does not fit together, and
// servers do not check it. A stream therefore goes on only at the version that
// began it, also when its client takes it up at another gateway, perhaps
// because the first one was killed. Gateways tell each other where their
// streams began; a stream that is open is told again and again, so that lost
// datagrams and gateways that have started since do not matter.
//
// A stream whose beginning is not known may go on only if its service has had
// a single version for as long as such a stream may be taken up; see
// VersionHistory.h.
//
// The class reads no clock: times are passed in with the events.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Clock.h"
#include "LibDispatch/StreamOriginUpdate.h"
#include "LibDispatch/VersionHistory.h"

#include <chrono>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace figlift::dispatch {

/// \name What is known of the beginning of a stream.
/// @{
struct KnownOrigin {
  StreamOrigin Origin;
  bool FromPeer = false;
  /// Since the stream began or was last told.
  BootClock::duration Age{};
};
/// @}
using OriginLookup = std::variant<KnownOrigin, OnlyVersion, UnknownOrigin>;

struct StreamOriginOptions {
  /// Counts from when a stream was last told of, and open streams are told of
  /// again. A client comes back soon after its stream has ended.
  std::chrono::seconds Retention{120};
  /// About 150 bytes each.
  size_t MaximumStreams = 32768;
  std::chrono::milliseconds RetellInterval{1000};
  /// 16 bytes each; an update fits into one packet.
  size_t MaximumPerUpdate = 64;
};

class StreamOrigins {
public:
  explicit StreamOrigins(StreamOriginOptions Options = {})
      : m_Options(Options) {}

  VersionHistory &versions() { return m_Versions; }
  /// The first event of a stream of this gateway is about to be forwarded, or
  /// the first one after the stream was taken up.
  void recordEvent(const StreamKey &Stream, const StreamOrigin &Origin,
                   BootTime Now);
  /// The stream has ended here. Its client may take it up again.
  void recordEnd(const StreamKey &Stream) { m_Open.erase(Stream); }
  void applyUpdate(const StreamOriginUpdate &Update, BootTime Now);
  /// What to tell the peers now.
  std::vector<StreamOriginUpdate> takeUpdates(BootTime Now);

  /// \p Stream is empty if the client does not name the beginning. It broke
  /// off before \p ResumedAt.
  OriginLookup find(const std::optional<StreamKey> &Stream,
                    const std::string &Service, BootTime ResumedAt,
                    BootTime Now) const;
  size_t size() const { return m_Streams.size(); }

private:
  struct Entry {
    StreamOrigin Origin;
    bool FromPeer = false;
    BootTime HeardAt{};
    std::list<StreamKey>::iterator Position;
  };

  void record(const StreamKey &Stream, const StreamOrigin &Origin,
              bool FromPeer, BootTime Now);
  void forgetOld(BootTime Now);
  void eraseOldest();

  StreamOriginOptions m_Options;
  std::map<StreamKey, Entry> m_Streams;
  /// Keys of m_Streams; those that were heard of last are at the end.
  std::list<StreamKey> m_Order;
  /// Streams of this gateway that have not ended.
  std::set<StreamKey> m_Open;
  /// Not yet told.
  std::set<StreamKey> m_New;
  BootTime m_ToldAllAt{};
  VersionHistory m_Versions;
};

} // namespace figlift::dispatch
