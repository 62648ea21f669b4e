//===- LeaseKeeper.cpp - Holds a lease on a row of the table --------------===//
//
// The row is {"holder","epoch","durationMilliseconds"}. Observers watch its
// version, which the table maintains.
//
//===----------------------------------------------------------------------===//

#include "LibLease/LeaseKeeper.h"

#include "LibCore/BoundedJson.h"

#include <nlohmann/json.hpp>

using namespace figlift;
using namespace figlift::lease;
using nlohmann::json;

namespace {

/// Sets the fields that are present. Returns false, and sets none, if one of
/// them has a type or a value that no keeper writes.
bool decodeFields(const json &Value, lease::RowRead &Parsed) {
  // Far beyond the duration of any lease; a longer one would keep the row from
  // being acquired.
  constexpr uint64_t MaximumDurationMilliseconds = 3'600'000;
  if (!Value.is_object())
    return false;
  const auto Holder = Value.find("holder");
  const auto Epoch = Value.find("epoch");
  const auto Duration = Value.find("durationMilliseconds");
  const bool HasHolder = Holder != Value.end();
  const bool HasEpoch = Epoch != Value.end();
  const bool HasDuration = Duration != Value.end();
  if ((HasHolder && !Holder->is_string()) ||
      (HasEpoch && (!Epoch->is_number_unsigned() ||
                    Epoch->get<uint64_t>() == UINT64_MAX)) ||
      (HasDuration &&
       (!Duration->is_number_unsigned() ||
        Duration->get<uint64_t>() > MaximumDurationMilliseconds)))
    return false;
  if (HasHolder)
    Parsed.Holder = Holder->get<std::string>();
  if (HasEpoch)
    Parsed.Epoch = Epoch->get<uint64_t>();
  if (HasDuration)
    Parsed.Duration = std::chrono::milliseconds(Duration->get<uint64_t>());
  return true;
}

/// Parses a row. An unreadable one counts as held by an unknown process, so
/// that it is acquired only after its version has not changed for a whole
/// duration.
lease::RowRead parseRow(const platform::Row &Stored,
                        std::chrono::milliseconds DefaultDuration) {
  lease::RowRead Parsed;
  Parsed.Version = Stored.Version;
  Parsed.Era = Stored.Era;
  Parsed.Duration = DefaultDuration;
  if (Stored.Version == 0)
    return Parsed;
  const auto Value = parseMessage(Stored.Value);
  if (!Value || !decodeFields(Value.value(), Parsed))
    Parsed.Holder = "unreadable";
  return Parsed;
}

} // namespace

LeaseKeeper::LeaseKeeper(platform::Table &Store, Post Run, std::string Key,
                         LeaseOptions Options, Observer Notify)
    : m_Store(Store), m_Run(std::move(Run)), m_Key(std::move(Key)),
      m_Machine(std::move(Options)), m_Observer(std::move(Notify)) {}

void LeaseKeeper::tick() { step(lease::Tick{}); }

void LeaseKeeper::stop() { step(lease::StopRequested{}); }

std::optional<uint64_t> LeaseKeeper::epoch() const {
  return m_Machine.epoch(BootClock::now());
}

void LeaseKeeper::step(const lease::Event &Input) {
  for (const lease::Action &Action : m_Machine.step(Input, BootClock::now()))
    std::visit([this](const auto &Selected) { act(Selected); }, Action);
}

void LeaseKeeper::act(const lease::ReadRow &) {
  m_Store.read(m_Key, [Weak = weak_from_this(),
                       Run = m_Run](const Result<platform::Row> &Row) {
    Run([Weak, Row] {
      if (auto Self = Weak.lock())
        Self->rowRead(Row);
    });
  });
}

void LeaseKeeper::rowRead(const Result<platform::Row> &Row) {
  constexpr std::chrono::milliseconds DefaultDuration{3000};
  if (Row)
    step(parseRow(Row.value(), DefaultDuration));
  else
    step(lease::ReadFailed{});
}

void LeaseKeeper::act(const lease::CommitRow &Commit) {
  json Value{{"holder", Commit.Holder},
             {"epoch", Commit.Epoch},
             {"durationMilliseconds", Commit.Duration.count()}};
  platform::Transaction Change;
  Change.Conditions = {{m_Key, Commit.ExpectedVersion}};
  Change.Writes = {{m_Key, Value.dump()}};
  m_Store.commit(Change, [Weak = weak_from_this(),
                          Run = m_Run](const Result<std::monostate> &Done) {
    Run([Weak, Done] {
      if (auto Self = Weak.lock())
        Self->committed(Done);
    });
  });
}

void LeaseKeeper::committed(const Result<std::monostate> &Outcome) {
  if (Outcome)
    return step(lease::CommitSucceeded{});
  switch (Outcome.error().Code) {
  case ResultCode::StoreConflict:
    return step(lease::CommitConflicted{});
  case ResultCode::StoreUnavailable:
    return step(lease::StoreFailed{});
  default:
    return step(lease::CommitOutcomeUnknown{});
  }
}

void LeaseKeeper::act(const lease::BecomeHolder &Action) {
  m_Observer.Gained(Action.Epoch);
}

void LeaseKeeper::act(const lease::LoseAuthority &Action) {
  m_Observer.Lost(Action.Epoch);
}
