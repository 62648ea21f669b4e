//===- Story.cpp - What became of one request, and why --------------------===//
//
// See Story.h.
//
//===----------------------------------------------------------------------===//

#include "LibExplain/Story.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>

namespace figlift::explain {

using std::chrono::milliseconds;
using timeline::Event;

namespace {

/// Share of the target that the door lets a plan use up; a plan of a little
/// less is named as near the bound.
constexpr double DoorShare = 0.9;
/// A part that took this many times as long as planned, and this much longer,
/// is named as the cause of a late answer.
constexpr double SlowFactor = 1.5;
constexpr double SlowMilliseconds = 10;
/// Final answers leave a little before the deadline.
constexpr double NearDeadline = 20;
/// A list of servers older than this was not kept up to date.
constexpr double OldListMilliseconds = 4000;

const timeline::OwnedValue *find(const Event &From, std::string_view Name) {
  for (const timeline::OwnedField &Each : From.Fields)
    if (Each.Name == Name)
      return &Each.Value;
  return nullptr;
}

std::string text(const Event &From, std::string_view Name) {
  const auto *Found = find(From, Name);
  return Found ? timeline::toString(*Found) : std::string();
}

double number(const Event &From, std::string_view Name) {
  const auto *Found = find(From, Name);
  if (!Found)
    return 0;
  if (const auto *Real = std::get_if<double>(Found))
    return *Real;
  if (const auto *Whole = std::get_if<uint64_t>(Found))
    return static_cast<double>(*Whole);
  if (const auto *Signed = std::get_if<int64_t>(Found))
    return static_cast<double>(*Signed);
  return 0;
}

std::string ms(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.1f ms", Value);
  return Text;
}

/// What a process believes, whatever the request.
bool isBelief(const Event &Which) {
  constexpr std::array<std::string_view, 9> Kinds = {
      "store-lost", "store-reached", "store-history-lost",
      "started",    "stopping",      "configuration-in-force",
      "reloaded",   "stood-still",   "lines-left-out"};
  return std::find(Kinds.begin(), Kinds.end(), Which.Kind) != Kinds.end();
}

/// A process that lives tells something within this time, if only the lines
/// that it left out.
constexpr milliseconds LongestSilence{2000};

class Teller {
public:
  Teller(const std::vector<Event> &Sorted, std::string_view RequestId,
         StoryOptions Options)
      : m_Sorted(Sorted), m_RequestId(RequestId), m_Options(Options) {}

  Result<Story> tell() {
    for (const Event &Each : m_Sorted)
      if (isOwn(Each))
        noteOwn(Each);
    if (!m_First)
      return failure(ResultCode::InvalidInput, missingText(), "request");
    for (const Event &Each : m_Sorted)
      if (isOwn(Each) || belongs(Each))
        m_Story.Lines.Events.push_back(Each);
    explainBeliefs();
    if (m_Last && m_Last->Kind == "request-ended")
      explainEnd(*m_Last);
    else
      say("There is no line for its end: it was left out, or the process ended "
          "first.");
    return std::move(m_Story);
  }

private:
  std::string missingText() const {
    std::string Text =
        "no line names the request \"" + std::string(m_RequestId) +
        "\"; plain requests are logged up to an allowance a second "
        "(log.plainLinesPerSecond)";
    for (const std::string &Each : unannouncedEnds(m_Sorted))
      Text += "\n" + Each;
    return Text;
  }

  bool isOwn(const Event &Which) const {
    return Which.About.Type == timeline::SubjectType::Request &&
           Which.About.Name == m_RequestId;
  }

  void noteOwn(const Event &Which) {
    if (!m_First)
      m_First = &Which;
    m_Last = &Which;
    m_Processes.insert(Which.ProcessId);
    for (const char *Name : {"target", "reader", "runner"})
      if (const std::string Target = text(Which, Name); !Target.empty())
        m_Targets.insert(Target);
  }

  bool belongs(const Event &Which) const {
    if (!m_Processes.contains(Which.ProcessId) || Which.When > m_Last->When)
      return false;
    const milliseconds Took(static_cast<int64_t>(number(*m_Last, "tookMs")));
    if (Which.When.wallTime() <
        m_First->When.wallTime() - Took - m_Options.Before)
      return false;
    return isBelief(Which) ||
           (Which.About.Type == timeline::SubjectType::Target &&
            m_Targets.contains(Which.About.Name));
  }

  void say(std::string What) { m_Story.Findings.push_back(std::move(What)); }

  void explainBeliefs() {
    for (const Event &Each : m_Story.Lines.Events) {
      if (Each.Kind == "send-ended")
        say("A send to " + text(Each, "target") + " (" + text(Each, "purpose") +
            ") ended: " + text(Each, "how") + ", after " +
            ms(number(Each, "tookMs")) + "; budget of repeats left " +
            text(Each, "budgetLeft") + ".");
      if (Each.Kind == "target-drains" || Each.Kind == "target-gone")
        say(Each.About.Name +
            (Each.Kind == "target-gone" ? " was gone" : " began to leave") +
            " at " + timeline::timeOfDay(Each.When) + ".");
      if (Each.Kind == "stood-still")
        say("The process stood still for " + text(Each, "for") + ".");
      if (Each.Kind == "store-lost")
        say("The store could not be reached from " +
            timeline::timeOfDay(Each.When) + " (" + text(Each, "table") + ").");
      if (Each.Kind == "lines-left-out")
        say("Lines were left out at " + timeline::timeOfDay(Each.When) +
            ": the story may have gaps.");
    }
  }

  void explainEnd(const Event &End) {
    const std::string Outcome = text(End, "outcome");
    if (number(End, "serversSeenMs") > OldListMilliseconds)
      say("The list of servers was " + ms(number(End, "serversSeenMs")) +
          " old.");
    if (Outcome == "refused")
      return explainRefusal(End);
    if (Outcome == "answered")
      return explainAnswer(End);
    if (Outcome == "caller-gone")
      return say("The caller left after " + ms(number(End, "tookMs")) +
                 (number(End, "firstMs") < number(End, "tookMs")
                      ? ", in the middle of the answer."
                      : ", before any answer."));
    explainFailure(End, Outcome);
  }

  void explainRefusal(const Event &End) {
    say("Refused: " + text(End, "reason") + "; " + text(End, "runs") +
        " runs, so \"not run\" is " +
        (number(End, "runs") == 0 ? "true." : "NOT true."));
    const double Planned = number(End, "plannedFirstMs");
    const double Bound = number(End, "targetMs") * DoorShare;
    if (text(End, "reason").find("too late") != std::string::npos)
      say("The first token was planned after " + ms(Planned) +
          "; the door allows " + ms(Bound) +
          ". Look at the stages and the load of the engines then.");
  }

  void explainAnswer(const Event &End) {
    const double First = number(End, "firstMs");
    if (First <= number(End, "targetMs"))
      return say("Answered on time: " + ms(First) + " of " +
                 ms(number(End, "targetMs")) + ".");
    say("Answered late: " + ms(First) + ", the target is " +
        ms(number(End, "targetMs")) + ", planned were " +
        ms(number(End, "plannedFirstMs")) + ".");
    nameSlow(End, "reading the prompt", "reader", "plannedReadMs", "readMs");
    nameSlow(End, "the run", "runner", "plannedRunMs", "runFirstMs");
    if (number(End, "sends") > 2)
      say("It took " + text(End, "sends") +
          " sends; time was lost at the targets named above.");
  }

  void nameSlow(const Event &End, const std::string &What,
                std::string_view Target, std::string_view Planned,
                std::string_view Measured) {
    const double Expected = number(End, Planned);
    const double Took = number(End, Measured);
    if (Took > Expected * SlowFactor && Took > Expected + SlowMilliseconds)
      say("The cause: " + What + " at " + text(End, Target) + " took " +
          ms(Took) + " to its first result, " + ms(Expected) +
          " were planned.");
  }

  void explainFailure(const Event &End, const std::string &Outcome) {
    const double Runs = number(End, "runs");
    say((Outcome == "cut-off" ? "Cut off in the middle of the answer: "
                              : "Ended with status " + text(End, "status") +
                                    " (" + Outcome + "): ") +
        text(End, "reason") + ".");
    say(Runs == 0 ? "Nothing ran."
                  : "It may have run at " + text(End, "runner") + " (" +
                        text(End, "runs") + " runs sent).");
    if (const double Deadline = number(End, "deadlineMs");
        Deadline > 0 && number(End, "tookMs") >= Deadline - NearDeadline)
      say("The time was used up: " + ms(number(End, "tookMs")) + " of " +
          ms(number(End, "deadlineMs")) + ".");
  }

  const std::vector<Event> &m_Sorted;
  const std::string_view m_RequestId;
  const StoryOptions m_Options;
  Story m_Story;
  const Event *m_First = nullptr;
  const Event *m_Last = nullptr;
  std::set<std::string, std::less<>> m_Processes;
  std::set<std::string, std::less<>> m_Targets;
};

} // namespace

std::vector<std::string> unannouncedEnds(const std::vector<Event> &Sorted) {
  std::vector<std::string> Found;
  std::map<std::string, const Event *> Last;
  const auto Tell = [&](const Event &Which) {
    Found.push_back(Which.ProcessId + " wrote its last line at " +
                    timeline::timeOfDay(Which.When) +
                    " and had not stopped: what it had at hand has no end "
                    "in the log.");
  };
  for (const Event &Each : Sorted) {
    const Event *&Before = Last[Each.ProcessId];
    if (Each.Kind == "started" && Before && Before->Kind != "stopped")
      Tell(*Before);
    Before = &Each;
  }
  for (const auto &[Process, Which] : Last)
    if (Which->Kind != "stopped" &&
        Sorted.back().When.wallTime() - Which->When.wallTime() > LongestSilence)
      Tell(*Which);
  return Found;
}

Result<Story> tellStory(const std::vector<Event> &Sorted,
                        std::string_view RequestId, StoryOptions Options) {
  return Teller(Sorted, RequestId, Options).tell();
}

} // namespace figlift::explain
