/** \file
 * Defines RcuPointer, a pointer that threads read without locks while another
 * thread replaces the object (read-copy-update).
 */
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace dogwooddrum::base {

/**
 * Scope guard of a read-side critical section. Must not outlive the scope in
 * which it was created, and must not be held during I/O, because a writer waits
 * for all readers. Thread safety: not shared; each thread creates its own.
 */
class RcuReadSection
{
public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/** Waits until every read section that began before the call has ended. */
void
RcuSynchronize();

/**
 * Owns an immutable value that is replaced as a whole.
 * Thread safety: Read from any thread inside an RcuReadSection; Replace from
 * any thread outside of one.
 */
template<typename T>
class RcuPointer
{
public:
  /** Precondition: aValue is not null. */
  explicit RcuPointer(std::unique_ptr<const T> aValue)
    : mValue(aValue.release())
  {
  }
  ~RcuPointer() { delete mValue.load(); }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  /** Returns the value; valid until the enclosing section ends. */
  const T& Read(const RcuReadSection&) const
  {
    return *mValue.load(std::memory_order_acquire);
  }

  /** Replaces the value and deletes the old one once no reader uses it. */
  void Replace(std::unique_ptr<const T> aValue)
  {
    const std::lock_guard<std::mutex> lock(mWriterMutex);
    const std::unique_ptr<const T> old(
      mValue.exchange(aValue.release(), std::memory_order_acq_rel));
    RcuSynchronize();
  }

private:
  std::atomic<const T*> mValue;
  std::mutex mWriterMutex;
};

} // namespace dogwooddrum::base
