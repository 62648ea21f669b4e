//===- RequestVersion.cpp - The software version of one stream ------------===//
//
// Binds a stream to the software version that began it: at its first event, or
// at once if its caller resumes it.
//
//===----------------------------------------------------------------------===//

#include "RequestFlow.h"

#include "LibLog/Log.h"

#include <algorithm>

namespace figlift::gateway {

using dispatch::KnownOrigin;
using dispatch::Milliseconds;
using dispatch::OnlyVersion;
using dispatch::OriginLookup;
using dispatch::UnknownOrigin;
using std::chrono::milliseconds;

namespace {

/// Another gateway may know where the stream began.
constexpr milliseconds UnknownOriginRetryAfter{50};
/// The store is asked again by then, or a first record is written.
constexpr milliseconds MissingRecordRetryAfter{500};
/// The record of a new version is usually written by then.
constexpr milliseconds UnrecordedRetryAfter{250};
constexpr std::string_view UnconfirmedReason =
    "the software version of a server is unconfirmed";

/// Short text for the log and the metrics.
std::string_view describe(const OriginLookup &Origin) {
  struct Namer {
    std::string_view operator()(const KnownOrigin &Known) const {
      return Known.FromPeer ? "peer" : "own";
    }
    std::string_view operator()(const OnlyVersion &) const {
      return "only version";
    }
    std::string_view operator()(const UnknownOrigin &) const {
      return "unknown";
    }
  };
  return std::visit(Namer{}, Origin);
}

/// Empty if the beginning is known.
std::string_view reasonOf(const OriginLookup &Origin) {
  const auto *Unknown = std::get_if<UnknownOrigin>(&Origin);
  return Unknown ? dispatch::describe(Unknown->Reason) : std::string_view();
}

/// Whether another read of the record may tell more.
bool needsNewRecord(const OriginLookup &Origin) {
  using Reason = dispatch::UnknownOriginReason;
  const auto *Unknown = std::get_if<UnknownOrigin>(&Origin);
  return Unknown && (Unknown->Reason == Reason::RecordNotRead ||
                     Unknown->Reason == Reason::OldRecord);
}

bool isRecordMissing(const OriginLookup &Origin) {
  const auto *Unknown = std::get_if<UnknownOrigin>(&Origin);
  return needsNewRecord(Origin) ||
         (Unknown &&
          Unknown->Reason == dispatch::UnknownOriginReason::NoRecord);
}

bool hasService(const dispatch::Route &Route, const std::string &Service) {
  return std::any_of(
      Route.Services.begin(), Route.Services.end(),
      [&](const auto &Weighted) { return Weighted.Service == Service; });
}

} // namespace

dispatch::StreamKey RequestFlow::streamKey(const std::string &AttemptId) const {
  return dispatch::StreamKey::of(m_Tenant.value_or(""), AttemptId);
}

/// A client that resumes a stream without naming its beginning is treated like
/// one whose beginning is not known.
OriginLookup RequestFlow::lookUpOrigin() const {
  std::optional<dispatch::StreamKey> Beginning;
  if (m_Fields.Resumes)
    Beginning = streamKey(*m_Fields.Resumes);
  const BootTime Now = BootClock::now();
  OriginLookup Origin =
      m_Shared.Origins.find(Beginning, m_Service, m_Started, Now);
  const auto *Only = std::get_if<OnlyVersion>(&Origin);
  if (!Only)
    return Origin;
  // The stream may have begun at any service of the route.
  for (const dispatch::WeightedService &Other : m_Route.Services) {
    const auto Found =
        m_Shared.Origins.versions().find(Other.Service, m_Started, Now);
    const auto *OtherOnly = std::get_if<OnlyVersion>(&Found);
    if (!OtherOnly || OtherOnly->SoftwareVersion != Only->SoftwareVersion)
      return UnknownOrigin{dispatch::UnknownOriginReason::SeveralVersions};
  }
  return Origin;
}

void RequestFlow::findOrigin() {
  const OriginLookup Origin = lookUpOrigin();
  if (!needsNewRecord(Origin) || !m_Shared.VersionRecords)
    return resumeAt(Origin);
  m_Shared.VersionRecords->readAgain([Self = shared_from_this()] {
    if (Self->m_Done)
      return;
    Self->guard([&] {
      // SIGTERM may have arrived during the read.
      if (!Self->mayStart(Milliseconds(0), BootClock::now()))
        return Self->rejectStopping();
      Self->resumeAt(Self->lookUpOrigin());
    });
  });
}

void RequestFlow::resumeAt(const OriginLookup &Origin) {
  bindToOrigin(Origin);
  logResumed(Origin);
  if (!std::holds_alternative<UnknownOrigin>(Origin))
    return begin();
  respondWithError(m_History.errorStatus(),
                   "it is not known at which software version the stream began",
                   isRecordMissing(Origin) ? MissingRecordRetryAfter
                                           : UnknownOriginRetryAfter);
}

void RequestFlow::bindToOrigin(const OriginLookup &Origin) {
  if (const auto *Known = std::get_if<KnownOrigin>(&Origin)) {
    // The route may have moved to other services since.
    if (hasService(m_Route, Known->Origin.Service))
      m_Service = Known->Origin.Service;
    if (m_Service == Known->Origin.Service)
      m_BoundVersion = Known->Origin.SoftwareVersion;
  } else if (const auto *Only = std::get_if<OnlyVersion>(&Origin)) {
    m_BoundVersion = Only->SoftwareVersion;
  }
}

void RequestFlow::logResumed(const OriginLookup &Origin) {
  m_Shared.Metrics
      .counter("figlift_gateway_resumed_streams_total",
               "Streams that callers took up",
               {{"origin", std::string(describe(Origin))},
                {"reason", std::string(reasonOf(Origin))}})
      .add();
  if (!m_Shared.Log.allows(LineKind::Notable, m_Started))
    return;
  const auto *Known = std::get_if<KnownOrigin>(&Origin);
  const BootTime Now = BootClock::now();
  log::logRequest(
      log::Level::Info, "stream-resumed", m_Fields.AttemptId, {},
      {{"resumes", m_Fields.Resumes.value_or("")},
       {"lastEvent", *m_Fields.LastEventId},
       {"service", m_Service},
       {"origin", describe(Origin)},
       {"reason", reasonOf(Origin)},
       {"softwareVersion", m_BoundVersion.value_or("")},
       {"ageMs", dispatch::Milliseconds(Known ? Known->Age
                                              : BootClock::duration::zero())},
       {"listAgeMs", dispatch::Milliseconds(Now - m_Shared.ServersKnownAt)},
       {"recordAgeMs",
        dispatch::Milliseconds(
            Now - m_Shared.Origins.versions().recordsCurrentAt())}});
}

/// Only streams that may be resumed are remembered: others end with their
/// answer.
void RequestFlow::bindToVersionOf(const ServerSend &Send) {
  if (!m_Route.Resumable || !Send.target())
    return;
  m_BoundVersion = Send.target()->SoftwareVersion;
  const dispatch::StreamOrigin Origin{m_Service, *m_BoundVersion};
  const BootTime Now = BootClock::now();
  if (m_Fields.Deadline)
    m_Shared.Origins.versions().recordStream(Origin, *m_Fields.Deadline);
  m_Shared.Origins.recordEvent(streamKey(m_Fields.AttemptId), Origin, Now);
  if (m_Fields.LastEventId && m_Fields.Resumes)
    m_Shared.Origins.recordEvent(streamKey(*m_Fields.Resumes), Origin, Now);
}

void RequestFlow::recordStreamEnd() {
  if (!m_BoundVersion)
    return;
  m_Shared.Origins.recordEnd(streamKey(m_Fields.AttemptId));
  if (m_Fields.Resumes)
    m_Shared.Origins.recordEnd(streamKey(*m_Fields.Resumes));
}

bool RequestFlow::dependsOnUnconfirmed(const std::string &TargetId) const {
  const dispatch::Target *Server = m_Shared.Targets.find(TargetId);
  return (m_BoundVersion || beginsResumable()) && Server &&
         !m_Shared.Restarts.isConfirmed(*Server);
}

bool RequestFlow::mayUseVersionOf(const std::string &TargetId) const {
  if (dependsOnUnconfirmed(TargetId))
    return false;
  if (m_BoundVersion)
    return softwareVersionOf(TargetId) == *m_BoundVersion;
  return !beginsResumable() ||
         m_Shared.Origins.versions().mayBegin(
             {m_Service, softwareVersionOf(TargetId)}, BootClock::now());
}

/// Whether a server of the service was left out as it may have restarted.
bool RequestFlow::hasUnconfirmed() const {
  const OpenTargets::List &All = m_Shared.Open.all(m_Service);
  return std::any_of(All.begin(), All.end(), [&](const auto *Candidate) {
    return !m_Shared.Restarts.isConfirmed(*Candidate);
  });
}

/// Refuses a stream that could begin only at a version that is not in the
/// store's record, or at a server whose version is unconfirmed.
bool RequestFlow::rejectIfUnrecorded() {
  if (!beginsResumable() || m_Shared.Open.all(m_Service).empty() ||
      !usableTargets().empty())
    return false;
  const metrics::Labels Labels = {{"service", m_Service}};
  const bool IsUnconfirmed = hasUnconfirmed();
  auto &Refusals =
      IsUnconfirmed
          ? m_Shared.Metrics.counter(
                "figlift_gateway_unconfirmed_version_refusals_total",
                "Streams refused as the software version of a server is "
                "unconfirmed",
                Labels)
          : m_Shared.Metrics.counter(
                "figlift_gateway_unrecorded_version_refusals_total",
                "Streams refused as no server has a software version that the "
                "store's record has",
                Labels);
  Refusals.add();
  releaseHandle();
  respondWithError(m_History.errorStatus(),
                   IsUnconfirmed
                       ? UnconfirmedReason
                       : "no server of a software version that is recorded",
                   UnrecordedRetryAfter);
  return true;
}

/// Refuses to go on with a stream if no server of its version takes work. Its
/// caller may begin it anew.
bool RequestFlow::rejectIfVersionLeft() {
  if (!m_BoundVersion || !usableTargets().empty())
    return false;
  const std::string_view Reason =
      hasUnconfirmed()
          ? UnconfirmedReason
          : "no server of the software version that began the stream";
  releaseHandle();
  if (m_ResponseStarted)
    abortStream(Reason);
  else
    respondWithError(m_History.errorStatus(), Reason, FailureRetryAfter);
  return true;
}

} // namespace figlift::gateway
