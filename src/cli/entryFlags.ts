import { custom } from '@oclif/core/flags';

const ADDRESS_PATTERN = /^[0-9.]+:[0-9]{1,5}$/;

const parseAddress = async (input: string): Promise<string> => {
  const address = input.replace(/^http:\/\//, '');
  if (ADDRESS_PATTERN.test(address)) return address;
  throw new Error(`${input} is no address such as 10.0.0.7:8080`);
};

/** Flags of every command that asks entries. */
export const entryFlags = {
  entry: custom({
    char: 'e',
    description: 'Address of an entry to begin with, such as 10.0.0.7:8080; may be repeated.',
    env: 'CORIANDERWICK_ENTRY',
    multiple: true,
    required: true,
    parse: parseAddress,
  })(),
};

/**
 * Gives the addresses of entries to begin with.
 *
 * @param entry - the flag's value; oclif gives one that comes from the environment outside of a list
 * @returns the addresses
 */
export const addressesOf = (entry: string | readonly string[]): readonly string[] => [entry].flat();
