//===- ConfigSource.cpp - Sources of the configuration --------------------===//
//
// The changes of a range of revisions are read consistently: the head is read
// first, and if any record is newer than the head, everything is read again.
// Otherwise every record is in its state at that head.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/ConfigSource.h"

#include "LibConfig/ConfigRows.h"

#include <set>

namespace figlift::config {

using platform::Callback;
using platform::Row;
using platform::Table;

namespace {

/// Number of rows read per page of a range.
constexpr size_t PageRows = 256;
/// If more changes than this are missing, all records are read instead.
constexpr uint64_t MaximumIncrementalChanges = 32;
/// Number of inconsistent reads after which the fetch fails.
constexpr unsigned MaximumAttempts = 5;

/// One fetch; keeps itself alive until it completes.
class TableFetch : public std::enable_shared_from_this<TableFetch> {
public:
  TableFetch(Table &Table, uint64_t After, Callback<Delta> Done)
      : m_Table(Table), m_After(After), m_Done(std::move(Done)) {}

  void start() {
    ++m_Attempts;
    m_Result = {};
    m_PendingKeys.clear();
    m_Table.read(std::string(HeadKey),
                 [Self = shared_from_this()](Result<Row> Head) {
                   Self->onHead(std::move(Head));
                 });
  }

private:
  void onHead(Result<Row> Head) {
    if (!Head)
      return m_Done(outcome::failure(Head.error()));
    auto Revision = decodeHead(Head.value());
    if (!Revision)
      return m_Done(outcome::failure(Revision.error()));
    m_Result.Base = m_After;
    m_Result.Head = Revision.value();
    if (m_Result.Head <= m_After)
      return m_Done(std::move(m_Result));
    if (m_After == 0 || m_Result.Head - m_After > MaximumIncrementalChanges)
      return readEverything(std::string());
    readChanges();
  }

  void readEverything(std::string After) {
    m_Result.Full = true;
    m_Table.readRange(
        std::string(RecordPrefix), std::move(After), PageRows,
        [Self = shared_from_this()](Result<std::vector<Row>> Page) {
          Self->onPage(std::move(Page));
        });
  }

  void onPage(Result<std::vector<Row>> Page) {
    if (!Page)
      return m_Done(outcome::failure(Page.error()));
    for (const Row &Record : Page.value())
      if (!addRecord(Record))
        return;
    if (Page.value().size() < PageRows)
      return finish();
    readEverything(Page.value().back().Key);
  }

  void readChanges() {
    m_Table.readRange(
        std::string(ChangePrefix), changeKey(m_After), m_Result.Head - m_After,
        [Self = shared_from_this()](Result<std::vector<Row>> Changes) {
          Self->onChanges(std::move(Changes));
        });
  }

  /// Old change rows are removed. If fewer rows than expected are found, the
  /// range has a gap and all records must be read.
  void onChanges(Result<std::vector<Row>> Changes) {
    if (!Changes)
      return m_Done(outcome::failure(Changes.error()));
    if (Changes.value().size() < m_Result.Head - m_After)
      return readEverything(std::string());
    for (const Row &Change : Changes.value()) {
      auto Names = decodeChange(Change);
      if (!Names)
        return m_Done(outcome::failure(Names.error()));
      m_PendingKeys.insert(
          recordKey(Names.value().first, Names.value().second));
    }
    readNextRecord();
  }

  void readNextRecord() {
    if (m_PendingKeys.empty())
      return finish();
    std::string Key = *m_PendingKeys.begin();
    m_PendingKeys.erase(m_PendingKeys.begin());
    m_Table.read(std::move(Key),
                 [Self = shared_from_this()](Result<Row> Record) {
                   if (!Record)
                     return Self->m_Done(outcome::failure(Record.error()));
                   if (Self->addRecord(Record.value()))
                     Self->readNextRecord();
                 });
  }

  /// Returns false if the fetch has failed.
  bool addRecord(const Row &Record) {
    auto Read = decodeRecord(Record);
    if (!Read) {
      m_Done(outcome::failure(Read.error()));
      return false;
    }
    m_Result.Records.push_back(std::move(Read).value());
    return true;
  }

  void finish() {
    bool IsInconsistent = false;
    for (const StoredRecord &Record : m_Result.Records)
      IsInconsistent |= Record.Revision > m_Result.Head;
    if (!IsInconsistent)
      return m_Done(std::move(m_Result));
    if (m_Attempts >= MaximumAttempts)
      return m_Done(failure(ResultCode::StoreConflict,
                            "the records change faster than they are read"));
    start();
  }

  Table &m_Table;
  const uint64_t m_After;
  const Callback<Delta> m_Done;
  unsigned m_Attempts = 0;
  Delta m_Result;
  std::set<std::string> m_PendingKeys;
};

class TableSource : public ConfigSource {
public:
  TableSource(Table &Table, PeerFetcher Peers)
      : m_Table(Table), m_Peers(std::move(Peers)) {}

  void readHead(Callback<uint64_t> Done) override {
    m_Table.read(std::string(HeadKey),
                 [Done = std::move(Done)](Result<Row> Head) {
                   if (!Head)
                     return Done(outcome::failure(Head.error()));
                   Done(decodeHead(Head.value()));
                 });
  }
  void fetchChanges(uint64_t After, Callback<Delta> Done) override {
    std::make_shared<TableFetch>(m_Table, After, std::move(Done))->start();
  }
  void fetchFromPeers(uint64_t After, bool AskAll,
                      Callback<Delta> Done) override {
    m_Peers(After, AskAll, std::move(Done));
  }

private:
  Table &m_Table;
  const PeerFetcher m_Peers;
};

class PeerSource : public ConfigSource {
public:
  explicit PeerSource(PeerFetcher Peers) : m_Peers(std::move(Peers)) {}

  void readHead(Callback<uint64_t> Done) override {
    Done(failure(ResultCode::StoreUnavailable, "agents do not read the table"));
  }
  void fetchChanges(uint64_t, Callback<Delta> Done) override {
    Done(failure(ResultCode::StoreUnavailable, "agents do not read the table"));
  }
  void fetchFromPeers(uint64_t After, bool AskAll,
                      Callback<Delta> Done) override {
    m_Peers(After, AskAll, std::move(Done));
  }

private:
  const PeerFetcher m_Peers;
};

} // namespace

std::shared_ptr<ConfigSource> makeTableSource(Table &Table, PeerFetcher Peers) {
  return std::make_shared<TableSource>(Table, std::move(Peers));
}

std::shared_ptr<ConfigSource> makePeerSource(PeerFetcher Peers) {
  return std::make_shared<PeerSource>(std::move(Peers));
}

} // namespace figlift::config
