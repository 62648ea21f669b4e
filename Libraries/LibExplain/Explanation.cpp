//===- Explanation.cpp - Outcome of one request and its cause -------------===//
//
// See Explanation.h.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/Explanation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>

namespace figlift::explain {

using std::chrono::milliseconds;
using timeline::Event;

namespace {

/// Fraction of the latency target that admission control allows a plan to use.
constexpr double AdmissionFraction = 0.9;
/// A phase is reported as the cause of a late response if it took this many
/// times as long as planned, and this much longer.
constexpr double SlowFactor = 1.5;
constexpr double SlowMilliseconds = 10;
/// Final responses are sent shortly before the deadline, so a request that
/// ends within this margin of it counts as out of time.
constexpr double DeadlineMarginMilliseconds = 20;
/// A server list older than this is stale and is reported.
constexpr double StaleListMilliseconds = 4000;

const timeline::OwnedValue *find(const Event &Source, std::string_view Name) {
  for (const timeline::OwnedField &Field : Source.Fields)
    if (Field.Name == Name)
      return &Field.Value;
  return nullptr;
}

std::string text(const Event &Source, std::string_view Name) {
  const auto *Value = find(Source, Name);
  return Value ? timeline::toString(*Value) : std::string();
}

double number(const Event &Source, std::string_view Name) {
  const auto *Value = find(Source, Name);
  if (!Value)
    return 0;
  if (const auto *Real = std::get_if<double>(Value))
    return *Real;
  if (const auto *Unsigned = std::get_if<uint64_t>(Value))
    return static_cast<double>(*Unsigned);
  if (const auto *Signed = std::get_if<int64_t>(Value))
    return static_cast<double>(*Signed);
  return 0;
}

std::string ms(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.1f ms", Value);
  return Text;
}

/// Whether the event reports the state of the process, independent of any
/// request.
bool isProcessState(const Event &Line) {
  constexpr std::array<std::string_view, 9> Kinds = {
      "store-lost", "store-reached", "store-history-lost",
      "started",    "stopping",      "configuration-in-force",
      "reloaded",   "stood-still",   "lines-left-out"};
  return std::find(Kinds.begin(), Kinds.end(), Line.Kind) != Kinds.end();
}

/// A running process logs at least once within this time, if only the number of
/// lines that it suppressed.
constexpr milliseconds MaximumLogGap{2000};

class ExplanationWriter {
public:
  ExplanationWriter(const std::vector<Event> &Sorted,
                    std::string_view RequestId, ExplanationOptions Options)
      : m_Sorted(Sorted), m_RequestId(RequestId), m_Options(Options) {}

  Result<Explanation> explain() {
    for (const Event &Line : m_Sorted)
      if (namesRequest(Line))
        recordLine(Line);
    if (!m_First)
      return failure(ResultCode::InvalidInput, requestNotFoundMessage(),
                     "request");
    for (const Event &Line : m_Sorted)
      if (namesRequest(Line) || isContext(Line))
        m_Explanation.Lines.Events.push_back(Line);
    explainContext();
    if (m_Last && m_Last->Kind == "request-ended")
      explainEnd(*m_Last);
    else
      addFinding("The request's end was not logged: the line was suppressed, "
                 "or the process ended first.");
    return std::move(m_Explanation);
  }

private:
  std::string requestNotFoundMessage() const {
    std::string Text = "no line names the request \"" +
                       std::string(m_RequestId) +
                       "\"; the rate of lines for plain requests is limited "
                       "(log.plainLinesPerSecond)";
    for (const std::string &Exit : findUncleanExits(m_Sorted))
      Text += "\n" + Exit;
    return Text;
  }

  bool namesRequest(const Event &Line) const {
    return Line.EventSubject.Type == timeline::SubjectType::Request &&
           Line.EventSubject.Name == m_RequestId;
  }

  void recordLine(const Event &Line) {
    if (!m_First)
      m_First = &Line;
    m_Last = &Line;
    m_Processes.insert(Line.ProcessId);
    for (const char *Name : {"target", "reader", "runner"})
      if (const std::string Target = text(Line, Name); !Target.empty())
        m_Targets.insert(Target);
  }

  bool isContext(const Event &Line) const {
    if (!m_Processes.contains(Line.ProcessId) ||
        Line.Timestamp > m_Last->Timestamp)
      return false;
    const milliseconds Took(static_cast<int64_t>(number(*m_Last, "tookMs")));
    if (Line.Timestamp.wallTime() <
        m_First->Timestamp.wallTime() - Took - m_Options.ContextWindow)
      return false;
    return isProcessState(Line) ||
           (Line.EventSubject.Type == timeline::SubjectType::Target &&
            m_Targets.contains(Line.EventSubject.Name));
  }

  void addFinding(std::string Sentence) {
    m_Explanation.Findings.push_back(std::move(Sentence));
  }

  void explainContext() {
    for (const Event &Line : m_Explanation.Lines.Events) {
      if (Line.Kind == "send-ended")
        explainSend(Line);
      if (Line.Kind == "stream-resumed")
        explainResume(Line);
      if (Line.Kind == "target-drains" || Line.Kind == "target-gone")
        addFinding(Line.EventSubject.Name +
                   (Line.Kind == "target-gone" ? " was removed"
                                               : " started draining") +
                   " at " + timeline::timeOfDay(Line.Timestamp) + ".");
      if (Line.Kind == "stood-still")
        addFinding("The process stalled for " + text(Line, "for") + ".");
      if (Line.Kind == "store-lost")
        addFinding("The store was unreachable from " +
                   timeline::timeOfDay(Line.Timestamp) + " (" +
                   text(Line, "table") + ").");
      if (Line.Kind == "lines-left-out")
        addFinding("Log lines were suppressed at " +
                   timeline::timeOfDay(Line.Timestamp) +
                   ": the explanation may be incomplete.");
    }
  }

  void explainSend(const Event &Line) {
    addFinding("A send to " + text(Line, "target") + " (" +
               text(Line, "purpose") + ") ended: " + text(Line, "how") +
               ", after " + ms(number(Line, "tookMs")) +
               "; retry budget left " + text(Line, "budgetLeft") + ".");
    if (number(Line, "unfinishedBytes") > 0)
      addFinding("Its stream ended inside an event, " +
                 text(Line, "unfinishedBytes") +
                 " bytes after the last whole one; the end of the response was "
                 "to be told by its " +
                 text(Line, "framing") + ".");
  }

  void explainResume(const Event &Line) {
    const std::string Origin = text(Line, "origin");
    if (Origin == "unknown")
      return addFinding("The caller resumed the stream of " +
                        text(Line, "resumes") +
                        ", whose software version is not known here.");
    addFinding("The caller resumed the stream of " + text(Line, "resumes") +
               " after event " + text(Line, "lastEvent") +
               "; it is bound to software version " +
               text(Line, "softwareVersion") + " (known from: " + Origin +
               ").");
  }

  void explainEnd(const Event &End) {
    const std::string Outcome = text(End, "outcome");
    if (number(End, "serversSeenMs") > StaleListMilliseconds)
      addFinding("The server list was " + ms(number(End, "serversSeenMs")) +
                 " old.");
    if (Outcome == "refused")
      return explainRefusal(End);
    if (Outcome == "answered")
      return explainAnswer(End);
    if (Outcome == "caller-gone")
      return addFinding("The caller disconnected after " +
                        ms(number(End, "tookMs")) +
                        (number(End, "firstMs") < number(End, "tookMs")
                             ? ", while the response was streamed."
                             : ", before the response started."));
    explainFailure(End, Outcome);
  }

  void explainRefusal(const Event &End) {
    addFinding("Refused: " + text(End, "reason") + "; " + text(End, "runs") +
               " executions, so \"not run\" is " +
               (number(End, "runs") == 0 ? "true." : "NOT true."));
    const double Planned = number(End, "plannedFirstMs");
    const double Bound = number(End, "targetMs") * AdmissionFraction;
    if (text(End, "reason").find("too late") != std::string::npos)
      addFinding(
          "The first token was planned after " + ms(Planned) +
          "; admission control allows " + ms(Bound) +
          ". Check the stages and the load of the engines at that time.");
  }

  void explainAnswer(const Event &End) {
    const double First = number(End, "firstMs");
    if (First <= number(End, "targetMs"))
      return addFinding("Answered on time: " + ms(First) + " of " +
                        ms(number(End, "targetMs")) + ".");
    addFinding("Answered late: " + ms(First) + ", the latency target is " +
               ms(number(End, "targetMs")) + ", planned " +
               ms(number(End, "plannedFirstMs")) + ".");
    explainSlowPhase(End, "prefill", "reader", "plannedReadMs", "readMs");
    explainSlowPhase(End, "decode", "runner", "plannedRunMs", "runFirstMs");
    if (number(End, "sends") > 2)
      addFinding("It took " + text(End, "sends") +
                 " sends; the targets named above caused the delay.");
  }

  void explainSlowPhase(const Event &End, const std::string &Phase,
                        std::string_view Target, std::string_view Planned,
                        std::string_view Measured) {
    const double Expected = number(End, Planned);
    const double Took = number(End, Measured);
    if (Took > Expected * SlowFactor && Took > Expected + SlowMilliseconds)
      addFinding("The cause: " + Phase + " at " + text(End, Target) + " took " +
                 ms(Took) + " to its first result, planned " + ms(Expected) +
                 ".");
  }

  void explainFailure(const Event &End, const std::string &Outcome) {
    const double Runs = number(End, "runs");
    addFinding((Outcome == "cut-off"
                    ? "The response was cut off while it was streamed: "
                    : "Ended with status " + text(End, "status") + " (" +
                          Outcome + "): ") +
               text(End, "reason") + ".");
    addFinding(Runs == 0
                   ? "Nothing was executed."
                   : "It may have been executed at " + text(End, "runner") +
                         " (" + text(End, "runs") + " executions sent).");
    if (const double Deadline = number(End, "deadlineMs");
        Deadline > 0 &&
        number(End, "tookMs") >= Deadline - DeadlineMarginMilliseconds)
      addFinding("The deadline was reached: " + ms(number(End, "tookMs")) +
                 " of " + ms(number(End, "deadlineMs")) + ".");
  }

  const std::vector<Event> &m_Sorted;
  const std::string_view m_RequestId;
  const ExplanationOptions m_Options;
  Explanation m_Explanation;
  const Event *m_First = nullptr;
  const Event *m_Last = nullptr;
  std::set<std::string, std::less<>> m_Processes;
  std::set<std::string, std::less<>> m_Targets;
};

} // namespace

std::vector<std::string> findUncleanExits(const std::vector<Event> &Sorted) {
  std::vector<std::string> Exits;
  std::map<std::string, const Event *> LastByProcess;
  const auto AddExit = [&](const Event &Line) {
    Exits.push_back(Line.ProcessId + " wrote its last line at " +
                    timeline::timeOfDay(Line.Timestamp) +
                    " without stopping cleanly: the ends of its requests in "
                    "flight were not logged.");
  };
  for (const Event &Line : Sorted) {
    const Event *&Previous = LastByProcess[Line.ProcessId];
    if (Line.Kind == "started" && Previous && Previous->Kind != "stopped")
      AddExit(*Previous);
    Previous = &Line;
  }
  for (const auto &[Process, Line] : LastByProcess)
    if (Line->Kind != "stopped" &&
        Sorted.back().Timestamp.wallTime() - Line->Timestamp.wallTime() >
            MaximumLogGap)
      AddExit(*Line);
  return Exits;
}

Result<Explanation> explainRequest(const std::vector<Event> &Sorted,
                                   std::string_view RequestId,
                                   ExplanationOptions Options) {
  return ExplanationWriter(Sorted, RequestId, Options).explain();
}

} // namespace figlift::explain
