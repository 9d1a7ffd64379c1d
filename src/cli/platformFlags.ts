import { custom, string } from '@oclif/core/flags';

const ADDRESS_PATTERN = /^http:\/\/[0-9.]+:[0-9]{1,5}$/;

/** Flags of every command that talks to the platform's object service. */
export const platformFlags = {
  platform: custom({
    description: 'Address of the object service, such as http://10.0.0.9:8001.',
    env: 'CORIANDERWICK_PLATFORM',
    required: true,
    parse: async (input) => {
      if (ADDRESS_PATTERN.test(input)) return input;
      throw new Error(`${input} is no address such as http://10.0.0.9:8001`);
    },
  })(),
  namespace: string({
    description: 'Namespace of the deployment.',
    env: 'CORIANDERWICK_NAMESPACE',
    default: 'default',
  }),
};

/** The flag that tells others who took a step. */
export const operatorFlag = {
  operator: string({
    description: 'Who takes this step; shown to others.',
    env: 'CORIANDERWICK_OPERATOR',
    required: true,
  }),
};
