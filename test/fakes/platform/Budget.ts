/** Lets through so many calls a second. */
export class Budget {
  private startedAt = 0;

  private used = 0;

  take(perSecond: number, now: number): boolean {
    if (now - this.startedAt >= 1_000) {
      this.startedAt = now;
      this.used = 0;
    }
    this.used += 1;
    return perSecond === 0 || this.used <= perSecond;
  }
}
