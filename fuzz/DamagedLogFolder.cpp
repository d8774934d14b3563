// Damages the log of a data folder at offsets taken from the input and opens
// it. Recovery must refuse the log or return one that accepts new entries.
#include "dogwooddrum/base/Check.h"
#include "dogwooddrum/state/Storage.h"
#include "tests/support/FakeFileSystem.h"

#include <cstddef>
#include <cstdint>
#include <cstring>

namespace consensus = dogwooddrum::coordination::consensus;
namespace base = dogwooddrum::base;
namespace state = dogwooddrum::state;
using dogwooddrum::support::FakeFileSystem;

namespace {

const base::MemberId kSelf(1);
/** Size limit for copies, because each copy can double the file. */
constexpr std::size_t kMaxFileBytes = 64U << 10;

consensus::PersistWork
MakeWork(std::uint64_t aFrom, std::uint64_t aTo)
{
  consensus::PersistWork work;
  for (std::uint64_t i = aFrom; i <= aTo; ++i) {
    work.mEntries.push_back(
      { base::Term(1), base::LogIndex(i), {}, std::string(i % 50, 'x') });
  }
  return work;
}

FakeFileSystem
MakeFolder(const state::StorageOptions& aOptions)
{
  FakeFileSystem files;
  auto storage = state::Storage::Open(files, aOptions, kSelf);
  for (std::uint64_t i = 1; i < 60; i += 3) {
    (*storage)->Persist({ MakeWork(i, i + 2) });
  }
  (*storage)->SaveSnapshot({ base::LogIndex(20), base::Term(1), {}, "state" });
  return files;
}

/** Applies one edit: file u8, offset u16, kind u8, byte u8. */
void
ApplyEdit(FakeFileSystem& aFiles, const std::uint8_t* aEdit)
{
  auto it = aFiles.mFiles.begin();
  std::advance(it, aEdit[0] % aFiles.mFiles.size());
  std::string& bytes = it->second->mBytes;
  std::uint16_t offset = 0;
  std::memcpy(&offset, aEdit + 1, sizeof offset);
  const std::size_t position = bytes.empty() ? 0 : offset % bytes.size();
  switch (aEdit[3] % 4) {
    case 0:
      bytes.resize(position);
      break;
    case 1:
      bytes.insert(position, 1, static_cast<char>(aEdit[4]));
      break;
    case 2:
      if (bytes.size() < kMaxFileBytes) {
        bytes += bytes.substr(position);
      }
      break;
    default:
      if (!bytes.empty()) {
        bytes[position] = static_cast<char>(aEdit[4]);
      }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  constexpr std::size_t kEditBytes = 5;
  const state::StorageOptions options{ "data", false, 500 };
  FakeFileSystem files = MakeFolder(options);
  for (; aSize >= kEditBytes; aSize -= kEditBytes, aData += kEditBytes) {
    ApplyEdit(files, aData);
  }
  auto storage = state::Storage::Open(files, options, kSelf);
  if (storage) {
    const auto recovered = (*storage)->TakeRecoveredState();
    const std::uint64_t last =
      (recovered.mSnapshot ? recovered.mSnapshot->mIndex.Value() : 0) +
      recovered.mEntries.size();
    DOGWOODDRUM_INVARIANT(
      bool((*storage)->Persist({ MakeWork(last + 1, last + 1) })),
      "cannot append to the recovered log");
    storage = state::Storage::Open(files, options, kSelf);
    DOGWOODDRUM_INVARIANT(bool(storage), storage.LastFailure().mMessage);
  }
  return 0;
}
